package quota_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/wire"
	"ebonyrouter.dev/entry/quota"
	"ebonyrouter.dev/steer/share"
)

// BenchmarkRenewal reports the processor time of one regular ask of a host with 80 active customers of 10,000, with its encoding on
// both sides and its answer by a coordinator of 9 such hosts, and the bytes of both messages.
func BenchmarkRenewal(b *testing.B) {
	const active, hosts = 80, 9
	var customers []core.CustomerSettings
	for i := range 10000 {
		customers = append(customers, core.CustomerSettings{Name: fmt.Sprintf("customer-%05d", i), RequestsPerSecond: 16, Burst: 10})
	}
	plan := core.NewCustomerPlan(customers)
	now := core.Instant(time.Hour)
	book := share.NewFirstBook(simBounds, now)
	var all []*quota.Shares
	for h := range hosts {
		all = append(all, quota.NewShares(fmt.Sprintf("host-%02d", h), "incarnation", simBounds, now))
	}
	var sent, received int
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s := all[i%hosts]
		if i%hosts == 0 {
			now = now.Add(500 * time.Millisecond)
		}
		for c := range active {
			s.Take(&customers[c], -1, hosts, now)
			s.Count(customers[c].Name)
		}
		ask, _ := s.Ask(false, now)
		payload, err := wire.Encode(ask)
		assert.NilError(b, err)
		var decoded core.QuotaAsk
		assert.NilError(b, wire.Decode(payload, &decoded))
		shares, _ := book.Answer(decoded, plan.Named, now)
		answer, err := wire.Encode(core.QuotaReply{Coordinating: true, Number: ask.Number, Shares: shares})
		assert.NilError(b, err)
		var reply core.QuotaReply
		assert.NilError(b, wire.Decode(answer, &reply))
		s.Adopt(reply, now)
		sent, received = len(payload), len(answer)
	}
	b.ReportMetric(float64(sent), "ask_bytes")
	b.ReportMetric(float64(received), "reply_bytes")
}

// BenchmarkTake reports the cost of one request that finds a share.
func BenchmarkTake(b *testing.B) {
	now := core.Instant(time.Hour)
	s, reply := askOnce(now)
	reply.Shares[0] = core.QuotaShare{Customer: "c", Rate: 1e9, Burst: 1e9, Tokens: 1e9}
	s.Adopt(reply, now)
	b.ReportAllocs()
	for b.Loop() {
		s.Take(&tested, -1, 1, now)
		s.Count("c")
	}
}
