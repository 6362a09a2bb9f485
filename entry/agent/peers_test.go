package agent

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// testHosts returns n hosts of one region, sorted by name.
func testHosts(n int) []core.Host {
	hosts := make([]core.Host, 0, n)
	for i := range n {
		name := fmt.Sprintf("h%03d", i)
		hosts = append(hosts, core.Host{Host: name, LinkAddress: name, Region: "north", Zone: "north-a"})
	}
	return hosts
}

// Guards against a pair of hosts where only one sends load reports to the other, and against a pair that has two links or
// none because both hosts or neither dial.
func TestNeighboursAreMutual(t *testing.T) {
	for _, n := range []int{2, 4, 17, 18, 138} {
		hosts := testHosts(n)
		a := &Agent{}
		dials := map[[2]string]bool{}
		for _, self := range hosts {
			neighbours := findNeighbours(self, hosts)
			assert.Equal(t, len(neighbours), min(n-1, maxNeighbours), "%d hosts", n)
			for _, address := range a.addressesToDial(self, neighbours, nil) {
				dials[[2]string{self.Host, address}] = true
			}
		}
		for _, self := range hosts {
			for _, other := range findNeighbours(self, hosts) {
				forward, reverse := dials[[2]string{self.Host, other.Host}], dials[[2]string{other.Host, self.Host}]
				assert.Assert(t, forward != reverse, "%d hosts: %s and %s", n, self.Host, other.Host)
			}
		}
	}
}

// Guards against a pair without a link while the host that should dial does not have the other one in its list yet.
func TestUnresponsiveNeighbourIsDialled(t *testing.T) {
	hosts := testHosts(2)
	a := &Agent{}
	assert.Equal(t, len(a.addressesToDial(hosts[1], hosts[:1], nil)), 0)
	assert.DeepEqual(t, a.addressesToDial(hosts[1], hosts[:1], []string{"h000"}), []string{"h000"})
	a.linked = []string{"h000"}
	assert.DeepEqual(t, a.addressesToDial(hosts[1], hosts[:1], nil), []string{"h000"})
}
