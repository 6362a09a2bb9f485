package owner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/steer/owner"
)

const (
	designHosts   = 690
	designMembers = 138
	designTargets = 4 * designMembers
)

// designRegion returns a region of the design size whose members own their shares and have grantors.
func designRegion(tb testing.TB) *region {
	tb.Helper()
	var all hostList
	for i := range designHosts {
		h := core.Host{Host: fmt.Sprintf("host-%03d", i), Incarnation: fmt.Sprintf("host-%03d1", i), Region: "visayas", State: core.HostReady, Zone: "v1"}
		if i < designMembers {
			h.Region, h.Zone = "luzon", fmt.Sprintf("l%d", i%2+1)
		}
		all = append(all, h)
	}
	r := newRegionOf(designTargets, all)
	document := core.Ownership{Epoch: 1, Members: map[string]core.Member{}, Objects: map[string]core.ObjectOwner{}, Region: "luzon"}
	for i, h := range all[:designMembers] {
		m := core.Member{GrantorsFrom: 1, Host: h.Host, Incarnation: h.Incarnation}
		for g := range core.MaxGrantors {
			grantor := all[(i+g+1)%designMembers]
			if g == core.MaxGrantors-1 {
				grantor = all[designMembers+i]
			}
			m.Grantors = append(m.Grantors, core.GrantorRef{Host: grantor.Host, Incarnation: grantor.Incarnation})
		}
		document.Members[h.Host] = m
	}
	zones := map[string]string{}
	for _, h := range all {
		zones[h.Host] = h.Zone
	}
	owner.Assign(&document, owner.Objects(r.source.Current(), "luzon"), zones)
	value, err := json.Marshal(document)
	assert.NilError(tb, err)
	_, err = r.store.Put(context.Background(), core.KeyOwnershipPrefix+"luzon", value, 0)
	assert.NilError(tb, err)
	return r
}

// BenchmarkTick measures one check for work that finds none, which runs twice a second, and one read of the document,
// which runs once in 10 s.
func BenchmarkTick(b *testing.B) {
	r := designRegion(b)
	steer := r.steers["host-003"]
	steer.SetLocalIncarnation("host-0031")
	assert.NilError(b, steer.Refresh(b.Context()))
	for name, task := range map[string]func(){
		"look": func() { steer.Tick(b.Context()) },
		"read": func() { _ = steer.Refresh(b.Context()) },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				task()
			}
		})
	}
	assert.Equal(b, r.store.puts, 1, "a check wrote the document")
	assert.Equal(b, len(r.advice.Release)+len(r.advice.Grantors), 0, "a check sent advice")
}
