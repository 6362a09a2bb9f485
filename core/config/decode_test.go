package config_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core/config"
)

const valid = `{"deployment":"d","policy":{"deadline_ms":900},
"regions":{"r":{"policy":{"queue_max":5},"services":{"s":{"eject_ms":50}},"zones":{"r-a":{"policy":{"queue_max":6}},"r-b":{}}},"q":{"zones":{"q-a":{}}}},
"services":{"s":{"host_names":["s.example"],"policy":{"eject_ms":40},"targets":{"t1":{"address":"127.0.0.1:1","connections":1,"slots":1,"zone":"r-a"}}},"u":{"targets":{}}},
"links":[{"from":"r","to":"q","mbit_per_second":1,"one_way_ms":1}],
"shifts":[{"service":"s","from":"r","to":"q","requests_per_second":5,"percent":50}],
"drains":{"targets":["s/t1"]}}`

// Guards against invalid trees that are accepted, which would then be in force everywhere, and against problems that are
// reported without their path.
func TestDecodeProblems(t *testing.T) {
	tests := map[string]struct{ old, changed, want string }{
		"address without port":     {"127.0.0.1:1", "127.0.0.1", "services.s.targets.t1.address: "},
		"address by name":          {"127.0.0.1:1", "localhost:1", "services.s.targets.t1.address: "},
		"address used twice":       {`"slots":1,"zone":"r-a"}`, `"slots":1,"zone":"r-a"},"t2":{"address":"127.0.0.1:1","connections":1,"slots":1,"zone":"r-a"}`, "services.s.targets.t2.address: "},
		"array instead of object":  {`"policy":{"eject_ms":40}`, `"policy":[[{}],1]`, "services.s.policy: must be an object"},
		"blocks without version":   {`"drains":`, `"blocks":{"parts":1},"drains":`, "blocks.version: "},
		"connections out of range": {`"connections":1`, `"connections":0`, "services.s.targets.t1.connections: 0"},
		"drain of unknown target":  {"s/t1", "s/t9", `drains.targets[0]: unknown target "s/t9"`},
		"drain of unknown zone":    {`"targets":["s/t1"]`, `"zones":["x"]`, "drains.zones[0]: "},
		"drain twice":              {`["s/t1"]`, `["s/t1","s/t1"]`, "drains.targets[1]: "},
		"duplicate name":           {`"queue_max":5`, `"queue_max":5,"queue_max":7`, "regions.r.policy.queue_max: the name occurs more than once"},
		"fraction":                 {`"deadline_ms":900`, `"deadline_ms":1.5`, "policy.deadline_ms: must be a whole number"},
		"host name twice":          {`"u":{`, `"u":{"host_names":["s.example"],`, "services.u.host_names[0]: "},
		"link to itself":           {`"from":"r","to":"q","mbit`, `"from":"q","to":"q","mbit`, "links[0].to: "},
		"link to unknown region":   {`"to":"q","mbit`, `"to":"x","mbit`, `links[0].to: unknown region "x"`},
		"name in other case":       {"deadline_ms", "Deadline_ms", "policy.Deadline_ms: unknown name"},
		"name with a slash":        {`"t1":`, `"a/b":`, "services.s.targets.a/b: "},
		"no regions":               {`"regions":{`, `"regions":{},"links":[],"shifts":[],"services":{`, "regions: "},
		"null":                     {`"deadline_ms":900`, `"deadline_ms":null`, "policy.deadline_ms: must be a whole number, not null"},
		"override of unknown":      {`"services":{"s":{"eject_ms":50}}`, `"services":{"x":{}}`, "regions.r.services.x: "},
		"percent sum":              {`"percent":50}`, `"percent":50},{"service":"s","from":"r","to":"w","requests_per_second":1,"percent":51}`, "shifts[1].percent: "},
		"policy out of range":      {`"eject_ms":50`, `"eject_ms":0`, "regions.r.services.s.eject_ms: 0 is not between 1 and 600000"},
		"shift of unknown service": {`"service":"s"`, `"service":"x"`, `shifts[0].service: unknown service "x"`},
		"shift twice":              {`"percent":50}`, `"percent":1},{"service":"s","from":"r","to":"q","requests_per_second":1}`, "shifts[1]: "},
		"shift without link":       {`"service":"s","from":"r","to":"q"`, `"service":"s","from":"q","to":"r"`, "shifts[0]: no link"},
		"slots out of range":       {`"slots":1`, `"slots":-1`, "services.s.targets.t1.slots: -1"},
		"store in unknown region":  {`"drains":`, `"store_region":"x","drains":`, `store_region: unknown region "x"`},
		"string for a number":      {`"slots":1`, `"slots":"1"`, "services.s.targets.t1.slots: must be a whole number, not a string"},
		"target in unknown zone":   {`"zone":"r-a"`, `"zone":"z"`, "services.s.targets.t1.zone: "},
		"text after the tree":      {`{"deployment"`, `{} {"deployment"`, "invalid JSON"},
		"zone in two regions":      {`"q-a"`, `"r-a"`, "regions.r.zones.r-a: "},
	}
	_, err := config.Decode([]byte(valid))
	assert.NilError(t, err)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			changed := strings.Replace(valid, tt.old, tt.changed, 1)
			assert.Assert(t, changed != valid)
			_, err := config.Decode([]byte(changed))
			assert.ErrorContains(t, err, tt.want)
		})
	}
}

// Guards against a decoder that stops at the first problem.
func TestDecodeReportsAllAtOnce(t *testing.T) {
	changed := strings.NewReplacer(`"deadline_ms":900`, `"x":{"y":[1]}`, `"slots":1`, `"slots":true`, `"to":"q","mbit`, `"to":"z","mbit`).Replace(valid)
	_, err := config.Decode([]byte(changed))
	var problems *config.ProblemsError
	assert.Assert(t, errors.As(err, &problems))
	var paths []string
	for _, p := range problems.Problems {
		paths = append(paths, p.Path)
	}
	assert.DeepEqual(t, paths, []string{"links[0].to", "policy.x", "services.s.targets.t1.slots", "shifts[0]"})
}

// Guards against deployment files that differ from the counts in the documentation of the two deployments; a wrong count
// leaves capacity unused or overloads targets.
func TestDeployments(t *testing.T) {
	type service struct{ targets, slots, connections int }
	tests := map[string]struct {
		services map[string]service
		oneWayMs int64
		port     int
	}{
		"pulot":   {map[string]service{"statusboard": {12, 9, 360}, "bookings": {12, 4, 360}, "apiary-records": {14, 9, 360}}, 55, 21001},
		"tablero": {map[string]service{"clasificacion": {12, 6, 390}, "actas": {12, 3, 390}, "pareos": {16, 6, 390}}, 35, 22001},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			content, err := os.ReadFile(filepath.Join("..", "..", "deployments", name+".json"))
			assert.NilError(t, err)
			settings, err := config.Decode(content)
			assert.NilError(t, err)
			assert.Equal(t, settings.Deployment, name)
			assert.Equal(t, len(settings.Regions), 3)
			assert.Equal(t, len(settings.Services), len(tt.services))
			assert.Equal(t, len(settings.Links), 6)
			assert.Equal(t, len(settings.Shifts), 18)
			ports := map[string]bool{}
			for service, want := range tt.services {
				perZone := map[string]int{}
				for _, target := range settings.Services[service].Targets {
					assert.Equal(t, target.Slots, want.slots)
					assert.Equal(t, target.Connections, want.connections)
					perZone[target.Zone]++
					ports[target.Address] = true
				}
				assert.Equal(t, len(settings.Services[service].Targets), want.targets)
				assert.Equal(t, len(perZone), 6)
				for zone, count := range perZone {
					assert.Assert(t, count >= want.targets/6 && count <= want.targets/6+1, zone)
				}
			}
			for port := tt.port; port < tt.port+len(ports); port++ {
				assert.Assert(t, ports[fmt.Sprintf("127.0.0.1:%d", port)], port)
			}
			for _, l := range settings.Links {
				assert.Equal(t, l.MbitPerSecond, int64(4000))
				assert.Equal(t, l.OneWayMs, tt.oneWayMs)
			}
		})
	}
}

// FuzzDecode guards against input that crashes the decoder, and against trees that change when they are encoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(t *testing.T, content []byte) {
		settings, err := config.Decode(content)
		if err != nil {
			return
		}
		encoded, err := config.Encode(settings)
		assert.NilError(t, err)
		decoded, err := config.Decode(encoded)
		assert.NilError(t, err)
		differences, err := config.Diff(settings, decoded)
		assert.NilError(t, err)
		assert.Equal(t, len(differences), 0)
	})
}
