package config

// Difference is one value that differs between two trees, as JSON; an absent value is empty.
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
