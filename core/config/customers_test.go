package config_test

import (
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/config"
)

// customersTree returns a valid tree with two customers.
func customersTree() core.Settings {
	rank := int64(1)
	digest := func(key string) string { return core.DigestKey(key).String() }
	return core.Settings{
		Customers: []core.CustomerSettings{
			{Burst: 5, HomeRegions: []string{"r1"}, KeyDigests: []string{digest("k1"), digest("k2")}, Name: "Acme & Sons", Priority: &rank, RequestsPerSecond: 2.5},
			{KeyDigests: []string{digest("k3")}, Name: "b"},
		},
		Deployment:  "test",
		Regions:     map[string]core.RegionSettings{"r1": {Zones: map[string]core.ZoneSettings{"z1": {}}}, "r2": {Zones: map[string]core.ZoneSettings{"z2": {}}}},
		RequireKeys: true,
		Routes: []core.RouteSettings{{
			Backends: []core.BackendSettings{{Service: "board", Weight: 1}}, HostName: "a.test", MaxAttempts: 1, Name: "r", PathPrefix: "/", Public: true,
			TimeoutMs: 100,
		}},
		Services: map[string]core.ServiceSettings{"board": {Targets: map[string]core.TargetSettings{}}},
	}
}

// TestCustomerChecks guards against invalid customers that are accepted, against problems that are reported without their path, and
// against a tolerant check that keeps a customer with such a problem or leaves out another one.
func TestCustomerChecks(t *testing.T) {
	cases := map[string]struct {
		change func(*core.CustomerSettings)
		want   string
		// stays means that the tolerant check keeps the customer without the invalid value.
		stays bool
	}{
		"valid":             {func(*core.CustomerSettings) {}, "", true},
		"no keys":           {func(c *core.CustomerSettings) { c.KeyDigests = nil }, "", true},
		"empty name":        {func(c *core.CustomerSettings) { c.Name = "" }, "customers[0].name: the name is empty", false},
		"long name":         {func(c *core.CustomerSettings) { c.Name = strings.Repeat("a", 257) }, "customers[0].name: ", false},
		"line break":        {func(c *core.CustomerSettings) { c.Name = "a\nb" }, "customers[0].name: ", false},
		"space at the end":  {func(c *core.CustomerSettings) { c.Name = "a " }, "customers[0].name: ", false},
		"invalid UTF-8":     {func(c *core.CustomerSettings) { c.Name = "a\xff" }, "customers[0].name: ", false},
		"key, no digest":    {func(c *core.CustomerSettings) { c.KeyDigests[1] = "k2" }, "customers[0].key_digests[1]: not a SHA-256", true},
		"empty digest":      {func(c *core.CustomerSettings) { c.KeyDigests[1] = "" }, "customers[0].key_digests[1]: ", true},
		"key of another":    {func(c *core.CustomerSettings) { c.KeyDigests[1] = core.DigestKey("k3").String() }, "customers[1].key_digests[0]: another", true},
		"negative priority": {func(c *core.CustomerSettings) { *c.Priority = -1 }, "customers[0].priority: -1 is below 0", false},
		"negative rate":     {func(c *core.CustomerSettings) { c.RequestsPerSecond = -1 }, "customers[0].requests_per_second: ", false},
		"rate is NaN":       {func(c *core.CustomerSettings) { c.RequestsPerSecond = math.NaN() }, "customers[0].requests_per_second: NaN", false},
		"infinite rate":     {func(c *core.CustomerSettings) { c.RequestsPerSecond = math.Inf(1) }, "customers[0].requests_per_second: ", false},
		"negative burst":    {func(c *core.CustomerSettings) { c.Burst = -1 }, "customers[0].burst: ", false},
		"burst is NaN":      {func(c *core.CustomerSettings) { c.Burst = math.NaN() }, "customers[0].burst: NaN", false},
		"unknown region":    {func(c *core.CustomerSettings) { c.HomeRegions = []string{"r1", "x"} }, `customers[0].home_regions[1]: unknown region "x"`, true},
		"no known region":   {func(c *core.CustomerSettings) { c.HomeRegions = []string{"x"} }, "customers[0].home_regions: none", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tree := customersTree()
			c.change(&tree.Customers[0])
			if !strings.Contains(name, "NaN") && !strings.Contains(name, "infinite") && name != "invalid UTF-8" {
				_, err := config.Encode(tree)
				assert.Equal(t, err == nil, c.want == "")
				if c.want != "" {
					assert.ErrorContains(t, err, c.want)
				}
			}
			snapshot, problems, err := config.BuildValid(core.SettingsHead{Revision: 1}, tree)
			assert.NilError(t, err)
			var texts []string
			for _, p := range problems {
				texts = append(texts, p.String())
			}
			assert.Equal(t, len(texts) == 0, c.want == "", "%v", texts)
			assert.Assert(t, strings.Contains(strings.Join(texts, "\n"), c.want), "%v", texts)
			_, found := snapshot.Customers.Find(core.DigestKey("k1"))
			assert.Equal(t, found, c.stays && name != "no keys")
			_, found = snapshot.Customers.Find(core.DigestKey("k3"))
			assert.Equal(t, found, name != "key of another")
			_, found = snapshot.Customers.Named("b")
			assert.Assert(t, found)
		})
	}
}

// TestCustomerNameTwice guards against two customers with one name, whose quota and identity would be mixed.
func TestCustomerNameTwice(t *testing.T) {
	tree := customersTree()
	tree.Customers[1].Name = tree.Customers[0].Name
	_, err := config.Encode(tree)
	assert.ErrorContains(t, err, "customers[1].name")
	snapshot, problems, err := config.BuildValid(core.SettingsHead{Revision: 1}, tree)
	assert.NilError(t, err)
	assert.Equal(t, len(problems), 1)
	_, found := snapshot.Customers.Find(core.DigestKey("k1"))
	assert.Assert(t, found)
	_, found = snapshot.Customers.Find(core.DigestKey("k3"))
	assert.Assert(t, !found)
}

// TestCustomersSurviveEncoding guards against customers that are lost or changed when a tree is stored, and against a difference between
// two trees that is not shown.
func TestCustomersSurviveEncoding(t *testing.T) {
	tree := customersTree()
	content, err := config.Encode(tree)
	assert.NilError(t, err)
	decoded, err := config.Decode(content)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded.Customers, tree.Customers)
	assert.Assert(t, decoded.RequireKeys && decoded.Routes[0].Public)
	decoded.Customers[0].RequestsPerSecond = 2.75
	decoded.Customers[1].HomeRegions = []string{"r2"}
	decoded.RequireKeys = false
	differences, err := config.Diff(tree, decoded)
	assert.NilError(t, err)
	var texts []string
	for _, d := range differences {
		texts = append(texts, d.String())
	}
	assert.DeepEqual(t, texts, []string{
		"customers[Acme & Sons].requests_per_second: 2.5 -> 2.75", `customers[b].home_regions[r2]: none -> "r2"`, `require_keys: "true" -> none`,
	})
}

// TestRankedAdmission guards against a switch for ranked admission that has no effect, and against settings that lose it.
func TestRankedAdmission(t *testing.T) {
	tree := customersTree()
	tree.RankedAdmission = true
	content, err := config.Encode(tree)
	assert.NilError(t, err)
	decoded, err := config.Decode(content)
	assert.NilError(t, err)
	assert.Assert(t, decoded.RankedAdmission)
	tree.Customers = nil
	_, err = config.Encode(tree)
	assert.ErrorContains(t, err, "ranked_admission: there are neither customers nor services with routes of several priorities")
	_, problems, err := config.BuildValid(core.SettingsHead{Revision: 1}, tree)
	assert.NilError(t, err)
	assert.Equal(t, len(problems), 1)
}

// TestCustomerTypes guards against a value of a wrong type that is reported without its path.
func TestCustomerTypes(t *testing.T) {
	for old, c := range map[string]struct{ changed, want string }{
		`"requests_per_second": 2.5`: {`"requests_per_second": "2.5"`, "customers[0].requests_per_second: must be a number, not a string"},
		`"priority": 1`:              {`"priority": 1.5`, "customers[0].priority: must be a whole number"},
		`"require_keys": true`:       {`"require_keys": 1`, "require_keys: must be a boolean"},
		`"public": true`:             {`"public": "true"`, "routes[0].public: must be a boolean"},
		`"burst": 5`:                 {`"api_keys": ["k"]`, "customers[0].api_keys: unknown name"},
	} {
		content, err := config.Encode(customersTree())
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(content), old), old)
		_, err = config.Decode([]byte(strings.Replace(string(content), old, c.changed, 1)))
		assert.ErrorContains(t, err, c.want)
	}
}
