package lease

import (
	"testing"

	"ebonyrouter.dev/core"
)

// BenchmarkOwns measures the ownership check before each write to an upstream. The budget for choosing a target, which
// includes the check, is 1 µs.
func BenchmarkOwns(b *testing.B) {
	c := &clock{now: 100}
	h := newTestHolder(c)
	h.SetOwnership(testDocument(1, core.ObjectOwner{Host: "a", Incarnation: "a1", Since: 1}))
	for _, r := range h.grantorRenewals(c.now) {
		h.recordConfirmation(r, core.LeaseReply{Confirmed: true})
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := h.Owns(object); !ok {
			b.Fatal("not owned")
		}
	}
}

// BenchmarkOwner measures the lookup of the owner of an object on another host.
func BenchmarkOwner(b *testing.B) {
	c := &clock{now: 100}
	h := newTestHolder(c)
	h.SetOwnership(testDocument(1, core.ObjectOwner{Host: "b", Incarnation: "b1", Since: 1}))
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := h.Owner(region, object); !ok {
			b.Fatal("no owner")
		}
	}
}
