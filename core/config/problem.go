package config

// Problem is one error in a settings tree. Path is the path of the invalid value, or empty for the whole tree.
type Problem struct {
	Path string
	Text string
}

// String returns the path and the text.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Text
	}
	return p.Path + ": " + p.Text
}
