package core_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// TestSlotsPerRegion guards against a demand estimate for one region that counts the slots of all regions.
func TestSlotsPerRegion(t *testing.T) {
	var none *core.TargetList
	cases := map[string]struct {
		list *core.TargetList
		want float64
	}{
		"no list":     {none, 0},
		"empty":       {&core.TargetList{}, 0},
		"one region":  {&core.TargetList{Targets: []core.Target{{Region: "r1", Slots: 4}, {Region: "r1", Slots: 6}}}, 10},
		"two regions": {&core.TargetList{Targets: []core.Target{{Region: "r1", Slots: 4}, {Region: "r1", Slots: 6}, {Region: "r2", Slots: 2}}}, 6},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, k.list.SlotsPerRegion(), k.want)
		})
	}
}
