package config_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/config"
)

// Guards against invalid routes that are accepted, and against problems that are reported without their path.
func TestRouteChecks(t *testing.T) {
	valid := func() core.RouteSettings {
		return core.RouteSettings{
			Backends: []core.BackendSettings{{Service: "board", Weight: 90}, {Service: "books", Weight: 10}}, HomeRegions: []string{"r1"},
			HostName: "a.test", MaxAttempts: 2, Name: "r-1", PathPrefix: "/board/", TimeoutMs: 1500,
		}
	}
	cases := map[string]struct {
		change func(*core.RouteSettings)
		want   string
	}{
		"valid":           {func(*core.RouteSettings) {}, ""},
		"host name":       {func(r *core.RouteSettings) { r.HostName = "A.test" }, "routes[0].host_name"},
		"no slash":        {func(r *core.RouteSettings) { r.PathPrefix = "/board" }, "routes[0].path_prefix"},
		"no timeout":      {func(r *core.RouteSettings) { r.TimeoutMs = 0 }, "routes[0].timeout_ms"},
		"no attempt":      {func(r *core.RouteSettings) { r.MaxAttempts = 0 }, "routes[0].max_attempts"},
		"unknown service": {func(r *core.RouteSettings) { r.Backends[1].Service = "x" }, "routes[0].backends[1].service"},
		"weight below 0":  {func(r *core.RouteSettings) { r.Backends[1].Weight = -1 }, "routes[0].backends[1].weight"},
		"no backends":     {func(r *core.RouteSettings) { r.Backends = nil }, "routes[0].backends"},
		"unknown region":  {func(r *core.RouteSettings) { r.HomeRegions[0] = "x" }, "routes[0].home_regions[0]"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			route := valid()
			c.change(&route)
			_, err := config.Encode(core.Settings{
				Deployment: "test",
				Regions:    map[string]core.RegionSettings{"r1": {Zones: map[string]core.ZoneSettings{"z1": {}}}},
				Routes:     []core.RouteSettings{route},
				Services: map[string]core.ServiceSettings{
					"board": {Targets: map[string]core.TargetSettings{}}, "books": {Targets: map[string]core.TargetSettings{}},
				},
			})
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, c.want)
		})
	}
}
