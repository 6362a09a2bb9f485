package flags_test

import (
	"bytes"
	"errors"
	"flag"
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/core/flags"
)

// Guards against a report that stops at the first fault, and against host names that are accepted in addresses.
func TestParseListsAllFaults(t *testing.T) {
	s := flags.New("test", &bytes.Buffer{})
	s.Address("listen", "", "listener")
	s.Addresses("peers", "", "peers")
	s.OneOf("log-level", "info", "level", flags.LogLevels()...)
	s.String("host", "", "host id")
	s.OptionalIP("listen-ip", "", "address")
	s.OptionalIP("source-ip", "", "address")
	err := s.Parse([]string{"-listen", "localhost:1", "-peers", "127.0.0.1:1,x:2", "-log-level", "loud", "-listen-ip", "10.0.0.1:1"})
	var e *flags.Error
	assert.Assert(t, errors.As(err, &e))
	assert.Equal(t, e.Code, codes.InvalidFlags)
	var names []string
	for _, f := range e.Faults {
		names = append(names, f.Flag)
	}
	assert.DeepEqual(t, names, []string{"listen", "peers", "log-level", "host", "listen-ip"})
}

// Guards against an environment variable that overrides its flag, and against an ignored variable.
func TestParseReadsEnvironment(t *testing.T) {
	t.Setenv("EBONY_LISTEN_ADDRESS", "127.0.0.1:7001")
	t.Setenv("EBONY_ZONE", "z3")
	s := flags.New("test", &bytes.Buffer{})
	a := s.Address("listen-address", "", "listener")
	z := s.String("zone", "", "zone")
	assert.NilError(t, s.Parse([]string{"-zone", "z5"}))
	assert.Equal(t, *a, "127.0.0.1:7001")
	assert.Equal(t, *z, "z5")
}

// Guards against a help text without choices and variables, and against unknown flags and arguments that are accepted.
func TestParseHelpAndUnknown(t *testing.T) {
	out := &bytes.Buffer{}
	s := flags.New("test", out)
	s.OneOf("log-level", "info", "lowest level", "info", "warn")
	assert.ErrorIs(t, s.Parse([]string{"-help"}), flag.ErrHelp)
	assert.Assert(t, bytes.Contains(out.Bytes(), []byte("(one of info, warn); environment EBONY_LOG_LEVEL")))
	assert.ErrorContains(t, s.Parse([]string{"-unknown"}), "unknown")
	assert.ErrorContains(t, s.Parse([]string{"stray"}), "stray")
}

// Guards against a process that listens on its advertised address although another listen address is set, and against a
// listen address whose port differs from the advertised one.
func TestListenAddress(t *testing.T) {
	for name, tc := range map[string]struct{ advertised, ip, want string }{
		"any address": {"192.0.2.1:70", "0.0.0.0", "0.0.0.0:70"},
		"IPv6":        {"192.0.2.1:70", "::1", "[::1]:70"},
		"none":        {"192.0.2.1:70", "", "192.0.2.1:70"},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, flags.ListenAddress(tc.advertised, tc.ip), tc.want)
		})
	}
}

// Guards against two process starts with the same incarnation.
func TestNewIncarnation(t *testing.T) {
	first := flags.NewIncarnation()
	assert.Assert(t, first != flags.NewIncarnation())
}
