package flags

import "flag"

var _ flag.Value = (*value)(nil)

// value stores the text of a flag and parses it only after all flags are read, so that all faults can be listed.
type value struct {
	name     string
	parse    func(string) error
	required bool
	text     string
}

// Set implements flag.Value.Set.
func (v *value) Set(text string) error {
	v.text = text
	return nil
}

// String implements flag.Value.String.
func (v *value) String() string {
	return v.text
}

// fault returns the reason why the text is invalid, or an empty string.
func (v *value) fault() string {
	if v.text == "" && v.required {
		return "is required"
	}
	if err := v.parse(v.text); err != nil {
		return err.Error()
	}
	return ""
}
