package main

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/fleet"
)

const (
	// settleTime is the time after the start in which links, ownership and takeovers settle.
	settleTime = 8 * time.Second
	// sampleTime covers a whole watch (30 s) and several polls (10 s) of the store.
	sampleTime = 32 * time.Second
	megabyte   = 1 << 20
)

// sizes are the numbers of hosts; two processes run per host.
var sizes = []int{8, 16, 32, 64}

// localTopics lists the topics of an entry process whose messages do not leave its host.
var localTopics = []string{"entry_status", "sync", "document_get", "lease_confirm", "member_revoke"}

// BenchmarkSteady measures hosts without callers: memory, CPU time and bytes on the control links for one process of each
// role, and store calls.
func BenchmarkSteady(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			f := newIdleFleet(b, n)
			time.Sleep(settleTime)
			roles := f.roles()
			before := map[string]fleet.Usage{}
			for role, p := range roles {
				before[role] = readUsage(b, p)
			}
			kindsBefore, callsBefore := f.Store.Calls()
			started := time.Now()
			time.Sleep(sampleTime)
			kindsAfter, callsAfter := f.Store.Calls()
			seconds := time.Since(started).Seconds()
			b.ReportMetric(float64(callsAfter-callsBefore)/seconds, "store_calls/s")
			for kind, count := range kindsAfter {
				b.ReportMetric(float64(count-kindsBefore[kind])/seconds, "store_"+kind+"/s")
			}
			for role, p := range roles {
				reportUsage(b, role, before[role], readUsage(b, p))
			}
			d := f.document("r0")
			b.ReportMetric(float64(d.size), "ownership_B")
			b.ReportMetric(float64(len(d.Members)), "ownership_members")
			b.ReportMetric(float64(len(d.Objects)), "ownership_objects")
			b.ReportMetric(float64(rawSize(d.Members)), "ownership_members_B")
			b.ReportMetric(float64(rawSize(d.Objects)), "ownership_objects_B")
		})
	}
}

// roles returns one process of each role. The exporters of a region are its two relays with the lowest names.
func (f *idleFleet) roles() map[string]*fleet.Process {
	roles := map[string]*fleet.Process{"exporter": f.Hosts[0].Steer, "relay": f.Hosts[1].Steer}
	last := f.Hosts[len(f.Hosts)-1]
	roles["entry"] = last.Entry
	// The first two hosts of a zone are relays.
	if len(f.Hosts) > 2*zones {
		roles["plain"] = last.Steer
	}
	return roles
}

// readUsage reads the resources that a process has used so far.
func readUsage(b *testing.B, p *fleet.Process) fleet.Usage {
	b.Helper()
	u, err := p.Usage(b.Context())
	assert.NilError(b, err)
	return u
}

// reportUsage reports the memory and links of a process and its resource usage per second between two readings.
func reportUsage(b *testing.B, role string, before, after fleet.Usage) {
	b.Helper()
	seconds := after.SampledAt.Sub(before.SampledAt).Seconds()
	rate := func(name string) float64 { return (after.Metrics[name] - before.Metrics[name]) / seconds }
	b.ReportMetric((after.CPU-before.CPU)/seconds*100, role+"_cpu%")
	b.ReportMetric(after.RSS/megabyte, role+"_MB")
	b.ReportMetric(after.Metrics["ebony_links_open"], role+"_links")
	b.ReportMetric(rate("ebony_links_received_bytes_total"), role+"_received_B/s")
	b.ReportMetric(rate("ebony_links_sent_all_frames_total"), role+"_sent_frames/s")
	sent := rate("ebony_links_sent_all_bytes_total")
	b.ReportMetric(sent, role+"_sent_B/s")
	for _, topic := range []string{"heartbeat", "hosts", "lease_renew", "load", "member", "reply", "sync"} {
		if r := rate(sentBytes(topic)); r > 0 {
			b.ReportMetric(r, role+"_"+topic+"_B/s")
		}
	}
	sent -= rate(sentBytes("hosts"))
	if role == "entry" {
		for _, topic := range localTopics {
			sent -= rate(sentBytes(topic))
		}
	}
	b.ReportMetric(sent, role+"_network_B/s")
}

// sentBytes returns the name of the metric of the bytes sent on a topic.
func sentBytes(topic string) string {
	return fmt.Sprintf("ebony_links_sent_bytes_total{topic=%q}", topic)
}

// rawSize returns the size in bytes of the encoded fields of a JSON object.
func rawSize(m map[string]json.RawMessage) int {
	size := 0
	for name, value := range m {
		size += len(name) + len(value) + len(`"":,`)
	}
	return size
}
