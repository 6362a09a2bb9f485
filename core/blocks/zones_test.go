package blocks_test

import (
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/blocks"
	"ebonyrouter.dev/core/config"
	"ebonyrouter.dev/core/store"
)

// settingsWith returns settings with one region that has these zones.
func settingsWith(zones ...string) *core.Settings {
	s := &core.Settings{Regions: map[string]core.RegionSettings{"r": {Zones: map[string]core.ZoneSettings{}}}}
	for _, z := range zones {
		s.Regions["r"].Zones[z] = core.ZoneSettings{}
	}
	return s
}

// Guards against accepting settings without the zone of a site, whether the change removes the zone or it never existed, and
// against accepting settings whose map cannot be read.
func TestCheckZones(t *testing.T) {
	s := store.NewMemory()
	m := blocks.Map{Sites: []blocks.Site{
		{Name: "east", Weight: 1, Zone: "a"}, {Name: "west", Weight: 1, Zone: "b"}, {Name: "far", Weight: 1, Zone: "b"},
	}}
	e, err := m.Encode()
	assert.NilError(t, err)
	assert.NilError(t, (&blocks.Writer{Store: s}).Write(t.Context(), e))
	const removed = `regions.r.zones.b: unknown availability zone "b", which site "`
	const suffix = `" of the client block map refers to`
	for name, tc := range map[string]struct {
		base, settings *core.Settings
		version        core.BlockSettings
		faults         store.Faults
		want           string
		cause          error
	}{
		"fits":    {base: settingsWith(), settings: settingsWith("a", "b"), version: e.Settings()},
		"no map":  {base: settingsWith("a", "b"), settings: settingsWith("a")},
		"removed": {base: settingsWith("a", "b"), settings: settingsWith("a", "c"), version: e.Settings(), want: removed + "west" + suffix + "\n" + removed + "far" + suffix},
		"unknown": {base: settingsWith("b"), settings: settingsWith("b"), version: e.Settings(), want: `blocks.version: unknown availability zone "a", which site "east` + suffix},
		"missing": {base: settingsWith(), settings: settingsWith("a", "b"), version: core.BlockSettings{Parts: 1, Version: "gone"}, cause: core.ErrNotFound},
		"outage":  {base: settingsWith(), settings: settingsWith("a", "b"), version: e.Settings(), faults: store.Faults{Outage: true}, cause: core.ErrUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			s.SetFaults(tc.faults)
			tc.settings.Blocks = tc.version
			err := blocks.CheckZones(t.Context(), s, tc.base, tc.settings)
			if tc.cause != nil {
				assert.ErrorIs(t, err, tc.cause)
				assert.ErrorContains(t, err, "blocks.version: read index of block map "+tc.version.Version)
				return
			}
			if tc.want == "" {
				assert.NilError(t, err)
				return
			}
			var problems *config.ProblemsError
			assert.Assert(t, errors.As(err, &problems))
			assert.Equal(t, err.Error(), tc.want)
		})
	}
}
