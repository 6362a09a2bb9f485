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

// flagsOf returns complete process settings of a program on free addresses, as name and value.
func flagsOf(t *testing.T, program string) map[string]string {
	t.Helper()
	settings := map[string]string{"host": "h1", "region": "north", "zone": "north-a", "token": fleet.Token}
	names := map[string][]string{
		"entry": {"admin-address", "caller-address", "link-address", "relay-address", "steer-address", "store"},
		"steer": {"admin-address", "entry-address", "link-address", "store"},
	}
	for _, name := range names[program] {
		settings[name] = fleet.FreeAddress(t)
	}
	return settings
}

// arguments returns the command line of process settings.
func arguments(settings map[string]string) []string {
	var args []string
	for flag, value := range settings {
		args = append(args, "-"+flag+"="+value)
	}
	return args
}

// Guards against a process that starts with faulty settings, names only one of several faults, or fails without a
// result code.
func TestStartupFaults(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = taken.Close() }()
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
		"taken link address": {change: map[string]string{"link-address": taken.Addr().String()}, exit: 1, texts: []string{"code 8004", taken.Addr().String()}},
		"taken administration address": {
			change: map[string]string{"admin-address": taken.Addr().String()}, exit: 1, texts: []string{"code 8004", taken.Addr().String()},
		},
	}
	for _, program := range []string{"entry", "steer"} {
		for name, test := range tests {
			t.Run(program+" "+name, func(t *testing.T) {
				settings := flagsOf(t, program)
				maps.Copy(settings, test.change)
				cmd := exec.Command(binaries.Path(program), arguments(settings)...)
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

// Guards against a process that ends or claims to be ready when the store cannot be reached at the start.
func TestStartWithoutStore(t *testing.T) {
	for _, program := range []string{"entry", "steer"} {
		t.Run(program, func(t *testing.T) {
			settings := flagsOf(t, program)
			p := binaries.Start(t, program, program, arguments(settings)...)
			fleet.Eventually(t, fleet.ReadyTimeout, func() error { return fleet.Get("http://"+settings["admin-address"]+"/healthz", nil) })
			err := fleet.Get("http://"+settings["admin-address"]+"/readyz", nil)
			assert.ErrorContains(t, err, "no settings in force")
			p.Stop(hostStopLimit)
		})
	}
}

// Guards against an administration API that answers without its token.
func TestAdministrationNeedsToken(t *testing.T) {
	settings := flagsOf(t, "steer")
	settings["token"] = "another"
	binaries.Start(t, "steer", "steer", arguments(settings)...)
	fleet.Eventually(t, fleet.ReadyTimeout, func() error { return fleet.Get("http://"+settings["admin-address"]+"/healthz", nil) })
	err := fleet.Get("http://"+settings["admin-address"]+"/v1/status", nil)
	assert.ErrorContains(t, err, "9001")
}
