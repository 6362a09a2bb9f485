package e2e_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/fleet"
)

func smallSpec() fleet.Spec {
	return fleet.Spec{
		HostsPerZone: 1, Regions: []string{"north", "south"}, Zones: 2, ShiftRPS: 100,
		Services: []fleet.ServiceSpec{{Name: "board", ServiceMs: 5, Slots: 3, Targets: 8}, {Name: "booking", ServiceMs: 5, Slots: 2, Targets: 8}},
	}
}

// Guards against a break anywhere on the path of a request: look-up, ownership, relay, upstream, answer, idempotency key.
func TestPath(t *testing.T) {
	t.Parallel()
	d := deploy(t, smallSpec())
	c := newCaller("board")
	for _, h := range d.Hosts {
		found, err := c.lookup(h.Caller)
		assert.NilError(t, err)
		assert.Assert(t, len(found.Hosts) > 0, "look-up at %s names no host", h.Name)
		a := c.send(found.Hosts[0].Address, "")
		assert.Assert(t, a.ok(), "%+v", a)
		assert.Equal(t, a.ran, core.RanYes)
	}
	booking := newCaller("booking")
	first := booking.send(d.Hosts[0].Caller, "key-1")
	assert.Assert(t, first.ok(), "%+v", first)
	repeat := booking.send(d.Hosts[3].Caller, "key-1")
	assert.NilError(t, repeat.err)
	assert.Equal(t, repeat.text, first.text)
	unknown := newCaller("nothing").send(d.Hosts[0].Caller, "")
	assert.Equal(t, unknown.code, "2001")
	assert.Assert(t, strings.Contains(unknown.text, "nothing"), unknown.text)
	assertLimits(d)
}
