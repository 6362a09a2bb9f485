package config

// Difference is one value that differs between two trees. Old and New are JSON, or empty if the value is absent.
type Difference struct {
	New  string `json:"new"`
	Old  string `json:"old"`
	Path string `json:"path"`
}

// String returns the path with both values.
func (d Difference) String() string {
	return d.Path + ": " + orNone(d.Old) + " -> " + orNone(d.New)
}

func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}
