package access_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/entry/access"
)

// snapshotOf returns settings with the given customers that require keys.
func snapshotOf(customers ...core.CustomerSettings) *core.Snapshot {
	return &core.Snapshot{Customers: core.NewCustomerPlan(customers), Settings: core.Settings{RequireKeys: true}}
}

func customer(name, key string, priority *int64, regions ...string) core.CustomerSettings {
	return core.CustomerSettings{HomeRegions: regions, KeyDigests: []string{core.DigestKey(key).String()}, Name: name, Priority: priority}
}

func codeOf(err error) codes.Code {
	var rejected *core.RejectedError
	if errors.As(err, &rejected) {
		return rejected.Code
	}
	return 0
}

// TestOf guards against a request that is accepted without a known key, and against a rank or a home region of the route or the
// customer that does not apply.
func TestOf(t *testing.T) {
	rank := int64(3)
	snapshot := snapshotOf(customer("plain", "k1", nil), customer("ranked", "k2", &rank), customer("home", "k3", nil, "r2", "r3"))
	private := core.RouteSettings{Name: "r", Priority: 1}
	public := core.RouteSettings{Name: "r", Priority: 1, Public: true}
	restricted := core.RouteSettings{Name: "r", HomeRegions: []string{"r1", "r2"}}
	foreign := core.RouteSettings{Name: "r", HomeRegions: []string{"r1"}}
	cases := map[string]struct {
		route   *core.RouteSettings
		values  []string
		name    string
		rank    int64
		regions []string
		code    codes.Code
		keyed   bool
	}{
		"known key":                    {route: &private, values: []string{"Bearer k1"}, name: "plain", rank: 1, keyed: true},
		"scheme in other case":         {route: &private, values: []string{"bEARER  k1 "}, name: "plain", rank: 1, keyed: true},
		"priority of the customer":     {route: &private, values: []string{"Bearer k2"}, name: "ranked", rank: 3, keyed: true},
		"home of the customer":         {route: &private, values: []string{"Bearer k3"}, name: "home", rank: 1, regions: []string{"r2", "r3"}, keyed: true},
		"home of the route":            {route: &restricted, values: []string{"Bearer k1"}, name: "plain", regions: []string{"r1", "r2"}, keyed: true},
		"both homes":                   {route: &restricted, values: []string{"Bearer k3"}, name: "home", regions: []string{"r2"}, keyed: true},
		"no common home":               {route: &foreign, values: []string{"Bearer k3"}, name: "home", regions: []string{"r1"}, code: codes.NoPermittedTarget, keyed: true},
		"without a route":              {values: []string{"Bearer k1"}, name: "plain", keyed: true},
		"without a route or key":       {code: codes.UnknownKey},
		"unknown key":                  {route: &private, values: []string{"Bearer k9"}, rank: 1, code: codes.UnknownKey},
		"no key":                       {route: &private, rank: 1, code: codes.UnknownKey},
		"empty key":                    {route: &private, values: []string{"Bearer  "}, rank: 1, code: codes.UnknownKey},
		"scheme only":                  {route: &private, values: []string{"Bearer"}, rank: 1, code: codes.UnknownKey},
		"other scheme":                 {route: &private, values: []string{"Basic k1"}, rank: 1, code: codes.UnknownKey},
		"key without scheme":           {route: &private, values: []string{"k1"}, rank: 1, code: codes.UnknownKey},
		"two keys":                     {route: &private, values: []string{"Bearer k1", "Bearer k1"}, rank: 1, code: codes.UnknownKey},
		"digest as key":                {route: &private, values: []string{"Bearer " + core.DigestKey("k1").String()}, rank: 1, code: codes.UnknownKey},
		"public":                       {route: &public, rank: 1},
		"public with a key":            {route: &public, values: []string{"Bearer k2"}, rank: 1},
		"public with an unknown key":   {route: &public, values: []string{"Bearer k9"}, rank: 1},
		"public with a key with homes": {route: &public, values: []string{"Bearer k3"}, rank: 1, regions: []string{"r2", "r3"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := access.Of(snapshot, c.route, http.Header{"Authorization": c.values})
			assert.Equal(t, codeOf(err), c.code)
			assert.Equal(t, got.Name(), c.name)
			assert.Equal(t, got.Priority, c.rank)
			assert.DeepEqual(t, got.HomeRegions, c.regions)
			assert.Equal(t, got.Keyed(), c.keyed)
			assert.Assert(t, got.KeysRequired)
		})
	}
}

// TestKeysAreNotRequired guards against customers that take effect in settings that do not require keys.
func TestKeysAreNotRequired(t *testing.T) {
	snapshot := snapshotOf(customer("home", "k1", nil, "r2"))
	snapshot.Settings.RequireKeys = false
	got, err := access.Of(snapshot, &core.RouteSettings{Priority: 1}, http.Header{"Authorization": {"Bearer k1"}})
	assert.NilError(t, err)
	assert.DeepEqual(t, got.HomeRegions, []string(nil))
	assert.Assert(t, !got.KeysRequired && !got.Keyed() && got.Customer == nil && got.Priority == 1)
}

// TestNoCustomers guards against settings that require keys but have no customers and therefore accept everything.
func TestNoCustomers(t *testing.T) {
	for name, snapshot := range map[string]*core.Snapshot{"no plan": {Settings: core.Settings{RequireKeys: true}}, "empty plan": snapshotOf()} {
		t.Run(name, func(t *testing.T) {
			_, err := access.Of(snapshot, nil, http.Header{"Authorization": {"Bearer k"}})
			assert.Equal(t, codeOf(err), codes.UnknownKey)
		})
	}
}

// TestCheck guards against an attempt with a key that was withdrawn after the request had arrived, and against one that is refused
// because the settings changed in another place.
func TestCheck(t *testing.T) {
	rank := int64(1)
	open := snapshotOf()
	open.Settings.RequireKeys = false
	cases := map[string]struct {
		later *core.Snapshot
		code  codes.Code
	}{
		"unchanged":             {snapshotOf(customer("a", "k1", nil)), 0},
		"customer changed":      {snapshotOf(customer("a", "k1", &rank, "r1")), 0},
		"key withdrawn":         {snapshotOf(customer("a", "k2", nil)), codes.UnknownKey},
		"customer removed":      {snapshotOf(), codes.UnknownKey},
		"key of another":        {snapshotOf(customer("b", "k1", nil)), codes.UnknownKey},
		"keys no longer needed": {open, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := access.Of(snapshotOf(customer("a", "k1", nil)), nil, http.Header{"Authorization": {"Bearer k1"}})
			assert.NilError(t, err)
			assert.Equal(t, codeOf(got.Check(c.later)), c.code)
		})
	}
}

// TestRelayed guards against a relayed request that loses the limits of its customer, and against one that is rejected because the
// settings of two hosts differ for a moment.
func TestRelayed(t *testing.T) {
	rank := int64(2)
	snapshot := snapshotOf(customer("a", "k1", &rank, "r2"))
	_, err := access.OfRelayed(snapshot, []string{"r1"}, "a")
	assert.Equal(t, codeOf(err), codes.NoPermittedTarget)
	got, err := access.OfRelayed(snapshot, []string{"r1", "r2"}, "a")
	assert.NilError(t, err)
	assert.Equal(t, got.Priority, rank)
	assert.DeepEqual(t, got.HomeRegions, []string{"r2"})
	assert.Assert(t, !got.Keyed())
	got, err = access.OfRelayed(snapshot, nil, "later")
	assert.NilError(t, err)
	assert.Assert(t, got.KeysRequired && got.Customer == nil)
}

// manyCustomers returns settings with 10,000 customers of 3 keys and the header of a request of one of them.
func manyCustomers() (*core.Snapshot, http.Header) {
	const (
		customers = 10_000
		keys      = 3
	)
	all := make([]core.CustomerSettings, customers)
	for i := range all {
		all[i].Name = fmt.Sprint("customer-", i)
		for k := range keys {
			all[i].KeyDigests = append(all[i].KeyDigests, core.DigestKey(longKey(i, k)).String())
		}
	}
	return snapshotOf(all...), http.Header{"Authorization": {"Bearer " + longKey(customers/2, 1)}}
}

func longKey(customer, key int) string {
	return fmt.Sprintf("%s-%d-%d", strings.Repeat("k", 64), customer, key)
}

// TestLookupAllocatesNothing guards against a key lookup that burdens the garbage collector with each request.
func TestLookupAllocatesNothing(t *testing.T) {
	snapshot, header := manyCustomers()
	route := &core.RouteSettings{HomeRegions: []string{"r1"}}
	allocations := testing.AllocsPerRun(100, func() {
		if _, err := access.Of(snapshot, route, header); err != nil {
			t.Error(err)
		}
	})
	assert.Equal(t, allocations, 0.0)
}

// BenchmarkOf measures the lookup of a key among 10,000 customers with 3 keys each.
func BenchmarkOf(b *testing.B) {
	snapshot, header := manyCustomers()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := access.Of(snapshot, nil, header); err != nil {
			b.Fatal(err)
		}
	}
}
