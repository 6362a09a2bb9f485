package e2e_test

import (
	"maps"
	"net"
	"os/exec"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/fleet"
)

// flagsOf returns a valid value for each required flag of a program by name. Nothing listens on the addresses.
func flagsOf(t *testing.T, program string) map[string]string {
	t.Helper()
	flags := map[string]string{"host": "h1", "region": "north", "zone": "north-a", "token": fleet.Token}
	names := map[string][]string{
		"entry": {"admin-address", "caller-address", "link-address", "relay-address", "steer-address", "store"},
		"steer": {"admin-address", "entry-address", "link-address", "store"},
	}
	for _, name := range names[program] {
		flags[name] = fleet.FreeAddress(t)
	}
	return flags
}

// arguments returns the command line arguments that set flags.
func arguments(flags map[string]string) []string {
	var args []string
	for name, value := range flags {
		args = append(args, "-"+name+"="+value)
	}
	return args
}

// Guards against a process that starts with invalid flags, reports only one of several invalid flags, or fails without a
// result code.
func TestStartupFaults(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	tests := map[string]struct {
		change map[string]string
		exit   int
		texts  []string
	}{
		"several faults": {
			change: map[string]string{"link-address": "localhost:1", "zone": "", "log-level": "loud"},
			exit:   2, texts: []string{"code 8001", "-link-address", "-zone", "-log-level"},
		},
		"unknown flag":       {change: map[string]string{"colour": "red"}, exit: 2, texts: []string{"code 8001", "colour"}},
		"taken link address": {change: map[string]string{"link-address": listener.Addr().String()}, exit: 1, texts: []string{"code 8004", listener.Addr().String()}},
		"taken administration address": {
			change: map[string]string{"admin-address": listener.Addr().String()}, exit: 1, texts: []string{"code 8004", listener.Addr().String()},
		},
	}
	for _, program := range []string{"entry", "steer"} {
		for name, test := range tests {
			t.Run(program+" "+name, func(t *testing.T) {
				flags := flagsOf(t, program)
				maps.Copy(flags, test.change)
				cmd := exec.Command(binaries.Path(program), arguments(flags)...)
				timer := time.AfterFunc(10*time.Second, func() { _ = cmd.Process.Kill() })
				defer timer.Stop()
				out, _ := cmd.CombinedOutput()
				assert.Equal(t, cmd.ProcessState.ExitCode(), test.exit, "%s", out)
				for _, text := range test.texts {
					assert.Assert(t, strings.Contains(string(out), text), "%q is missing in: %s", text, out)
				}
			})
		}
	}
}

// Guards against a process that exits or reports that it is ready when the store is unreachable at startup.
func TestStartWithoutStore(t *testing.T) {
	for _, program := range []string{"entry", "steer"} {
		t.Run(program, func(t *testing.T) {
			flags := flagsOf(t, program)
			p := binaries.Start(t, program, program, arguments(flags)...)
			fleet.Eventually(t, fleet.ReadyTimeout, func() error { return fleet.Get("http://"+flags["admin-address"]+"/healthz", nil) })
			err := fleet.Get("http://"+flags["admin-address"]+"/readyz", nil)
			assert.ErrorContains(t, err, "no settings in force")
			p.Stop(hostStopLimit)
		})
	}
}

// Guards against an administration API that serves requests without the right token.
func TestAdministrationNeedsToken(t *testing.T) {
	flags := flagsOf(t, "steer")
	flags["token"] = "another"
	binaries.Start(t, "steer", "steer", arguments(flags)...)
	fleet.Eventually(t, fleet.ReadyTimeout, func() error { return fleet.Get("http://"+flags["admin-address"]+"/healthz", nil) })
	err := fleet.Get("http://"+flags["admin-address"]+"/v1/status", nil)
	assert.ErrorContains(t, err, "9001")
}
