package config

// Problem is one fault of a settings tree; Path names the value at fault.
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
