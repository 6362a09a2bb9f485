package flags

import (
	"flag"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"

	"ebonyrouter.dev/core/codes"
)

// EnvPrefix is the prefix of environment variables, which is followed by the upper-case flag name, as in
// EBONY_LINK_ADDRESS.
const EnvPrefix = "EBONY"

// Set is a set of process settings. A malformed value is recorded as a fault instead of ending the parse.
type Set struct {
	flags  *flag.FlagSet
	values []*value
}

// New returns an empty set for program; help texts are written to output.
func New(program string, output io.Writer) *Set {
	flags := flag.NewFlagSet(program, flag.ContinueOnError)
	flags.SetOutput(output)
	return &Set{flags: flags}
}

// Address defines a flag that holds an IP address with port; it is required if initial is empty.
func (s *Set) Address(name, initial, help string) *string {
	p := new(string)
	s.define(name, initial, help+" (IP address with port)", func(text string) error {
		*p = text
		return CheckAddress(text)
	})
	return p
}

// Addresses defines a flag that holds a possibly empty comma-separated list of IP addresses with port.
func (s *Set) Addresses(name, initial, help string) *[]string {
	p := new([]string)
	s.defineOptional(name, initial, help+" (IP addresses with port, separated by commas)", func(text string) error {
		*p = split(text)
		var faults []string
		for _, a := range *p {
			if err := CheckAddress(a); err != nil {
				faults = append(faults, err.Error())
			}
		}
		if len(faults) > 0 {
			return errors.New(strings.Join(faults, ", "))
		}
		return nil
	})
	return p
}

// OneOf defines a flag that holds one of the choices.
func (s *Set) OneOf(name, initial, help string, choices ...string) *string {
	p := new(string)
	list := strings.Join(choices, ", ")
	s.define(name, initial, fmt.Sprintf("%s (one of %s)", help, list), func(text string) error {
		if !slices.Contains(choices, text) {
			return errors.Errorf("%q is not one of %s", text, list)
		}
		*p = text
		return nil
	})
	return p
}

// OptionalNumber defines a flag that holds a number of 0 or more; 0 stands for a default that help names.
func (s *Set) OptionalNumber(name, help string) *int {
	p := new(int)
	s.defineOptional(name, "0", help, func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return errors.Errorf("%q is not a number of 0 or more", text)
		}
		*p = n
		return nil
	})
	return p
}

// OptionalIP defines a flag that holds an IP address without port, or an empty value.
func (s *Set) OptionalIP(name, initial, help string) *string {
	p := new(string)
	s.defineOptional(name, initial, help+" (IP address, or empty)", func(text string) error {
		*p = text
		if text == "" {
			return nil
		}
		return checkIP(text)
	})
	return p
}

// Parse reads args and the environment. It returns flag.ErrHelp if help was requested, or an *Error that lists all faults.
func (s *Set) Parse(args []string) error {
	err := ff.Parse(s.flags, args, ff.WithEnvVarPrefix(EnvPrefix))
	if errors.Is(err, flag.ErrHelp) {
		return flag.ErrHelp
	}
	if err != nil {
		// The values after an undefined flag were not read, so they cannot be checked.
		return &Error{Code: codes.InvalidFlags, Faults: []Fault{{Flag: "", Text: err.Error()}}}
	}
	var faults []Fault
	for _, v := range s.values {
		if text := v.fault(); text != "" {
			faults = append(faults, Fault{Flag: v.name, Text: text})
		}
	}
	for _, a := range s.flags.Args() {
		faults = append(faults, Fault{Flag: "", Text: fmt.Sprintf("argument %q is not a flag", a)})
	}
	if len(faults) > 0 {
		return &Error{Code: codes.InvalidFlags, Faults: faults}
	}
	return nil
}

// String defines a flag that holds any text, such as a name; it is required if initial is empty.
func (s *Set) String(name, initial, help string) *string {
	p := new(string)
	s.define(name, initial, help+" (text)", func(text string) error {
		*p = text
		return nil
	})
	return p
}

func (s *Set) add(v *value, help string) {
	variable := EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(v.name, "-", "_"))
	s.flags.Var(v, v.name, help+"; environment "+variable)
	s.values = append(s.values, v)
}

func (s *Set) define(name, initial, help string, parse func(string) error) {
	s.add(&value{name: name, parse: parse, required: true, text: initial}, help)
}

func (s *Set) defineOptional(name, initial, help string, parse func(string) error) {
	s.add(&value{name: name, parse: parse, text: initial}, help)
}

func split(text string) []string {
	var parts []string
	for _, p := range strings.Split(text, ",") {
		if p = strings.TrimSpace(p); p != "" {
			parts = append(parts, p)
		}
	}
	return parts
}
