package meter

// Option changes a Meter under construction.
type Option func(*Meter)

// WithClasses sets the classes that get a label value of their own.
func WithClasses(classes ...string) Option {
	return func(m *Meter) {
		m.classes = map[string]bool{}
		for _, c := range classes {
			m.classes[c] = true
		}
	}
}

// WithMaxServices sets the number of services that get a label value of their own.
func WithMaxServices(n int) Option {
	return func(m *Meter) { m.services = newBounded(n) }
}

// WithMaxTenants sets the number of tenants that get a label value of their own.
func WithMaxTenants(n int) Option {
	return func(m *Meter) { m.tenants = newBounded(n) }
}
