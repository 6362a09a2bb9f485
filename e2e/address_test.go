package e2e_test

import (
	"net"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/fleet"
)

// Guards against hosts in a test network that cannot start, because two of their listeners have the same port or because an
// outgoing connection of the host has taken the port of a listener.
func TestHostAddresses(t *testing.T) {
	s := faultSpec()
	s.Network, s.HostsPerZone = true, 200
	d := fleet.New(t, binaries, s)
	d.AddHosts()
	for _, h := range d.Hosts {
		var ports []string
		for _, address := range []string{h.CallerAddress, h.EntryAdmin, h.EntryLink, h.RelayAddress, h.SteerAdmin, h.SteerLink} {
			ip, port, err := net.SplitHostPort(address)
			assert.NilError(t, err)
			assert.Check(t, !slices.Contains(ports, port), "%s: listener %s has the port of another listener", h.Name, address)
			assert.Check(t, ip != h.SourceIP, "%s dials from an address on which it listens", h.Name)
			ports = append(ports, port)
		}
		assert.Check(t, h.ListenIP != h.SourceIP, "%s dials from the address on which it listens", h.Name)
	}
}
