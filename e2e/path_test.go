package e2e_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/fleet"
)

// smallSpec describes two regions with two zones of one host, and a service each for reads and for keyed requests.
func smallSpec() fleet.Spec {
	return fleet.Spec{
		HostsPerZone: 1, Regions: []string{"north", "south"}, Zones: 2, ShiftRPS: 100,
		Services: []fleet.ServiceSpec{{Name: "board", ServiceMs: 5, Slots: 3, Targets: 8}, {Name: "booking", ServiceMs: 5, Slots: 2, Targets: 8}},
	}
}

// Guards against a failure anywhere on the path of a request: lookup, ownership, relay, upstream, response, idempotency key.
func TestPath(t *testing.T) {
	t.Parallel()
	d := deploy(t, smallSpec())
	c := newCaller("board")
	for _, h := range d.Hosts {
		found, err := c.lookup(h.CallerAddress)
		assert.NilError(t, err)
		assert.Assert(t, len(found.Hosts) > 0, "lookup at host %s returns no host", h.Name)
		r := c.send(found.Hosts[0].Address, "")
		assert.Assert(t, r.ok(), "%+v", r)
		assert.Equal(t, r.ran, core.RanYes)
	}
	booking := newCaller("booking")
	first := booking.send(d.Hosts[0].CallerAddress, "key-1")
	assert.Assert(t, first.ok(), "%+v", first)
	retry := booking.send(d.Hosts[3].CallerAddress, "key-1")
	assert.NilError(t, retry.err)
	assert.Equal(t, retry.text, first.text)
	unknown := newCaller("nothing").send(d.Hosts[0].CallerAddress, "")
	assert.Equal(t, unknown.code, "2001")
	assert.Assert(t, strings.Contains(unknown.text, "nothing"), unknown.text)
	assertLimits(d)
}
