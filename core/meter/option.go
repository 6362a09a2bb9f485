package meter

// Option configures a Meter.
type Option func(*Meter)

// WithClasses sets the classes that have their own label value.
func WithClasses(classes ...string) Option {
	return func(m *Meter) {
		m.classes = map[string]bool{}
		for _, c := range classes {
			m.classes[c] = true
		}
	}
}

// WithMaxServices limits the number of services that have their own label value.
func WithMaxServices(n int) Option {
	return func(m *Meter) { m.services = newBounded(n) }
}

// WithMaxTenants limits the number of tenants that have their own label value.
func WithMaxTenants(n int) Option {
	return func(m *Meter) { m.tenants = newBounded(n) }
}
