package place

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/wire"
)

const (
	// reportInterval is the time between two rounds of reports.
	reportInterval = 200 * time.Millisecond
	// peersPerRound is the number of hosts that receive a report in each round. In a region with more hosts, each of them
	// receives reports less often, which limits the traffic of a host to less than 2 KB/s.
	peersPerRound = 4
)

// InFlightExchange exchanges reports of in-flight requests with the other hosts of the region.
type InFlightExchange struct {
	Links  core.Links
	Log    *zap.Logger
	Placer *Placer
	// Peers returns the link addresses of the other hosts of the region.
	Peers func() []string
	// Hosts receives what each host reports about itself, including this one.
	Hosts HostRecorder
	Timer core.Timer

	stopping atomic.Bool
}

// HostRecorder records what hosts report about themselves.
type HostRecorder interface {
	// RecordRate records the rate of the requests that a host receives.
	RecordRate(host string, perSecond float64)
	// RecordStopping records whether a host has begun a planned stop.
	RecordStopping(host string, stopping bool)
}

// Handle decodes and applies the report of a peer; it is a core.MessageHandler.
func (e *InFlightExchange) Handle(peer string, payload []byte) {
	var report core.InFlight
	if err := wire.Decode(payload, &report); err != nil {
		event.DocumentInvalid.Write(e.Log, zap.String("peer", peer), zap.Error(err))
		return
	}
	e.Placer.ApplyReport(report)
	e.Hosts.RecordRate(report.Host, report.Rate)
	e.Hosts.RecordStopping(report.Host, report.Stopping)
}

// AnnounceStop tells all hosts of the region that this one has begun a planned stop, which the store may not be able to.
func (e *InFlightExchange) AnnounceStop() {
	e.stopping.Store(true)
	report := e.report()
	e.Hosts.RecordStopping(report.Host, true)
	e.sendTo(report, e.Peers())
}

// report returns the report of this host.
func (e *InFlightExchange) report() core.InFlight {
	report := e.Placer.InFlight()
	report.Stopping = e.stopping.Load()
	return report
}

// Run sends reports until ctx ends. While the host is idle, only the first report is sent.
func (e *InFlightExchange) Run(ctx context.Context) {
	ticks := e.Timer.Subscribe(reportInterval)
	defer ticks.Stop()
	idleReported, last := false, 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
		report := e.report()
		e.Hosts.RecordRate(report.Host, report.Rate)
		idle := len(report.Targets) == 0 && report.Rate == 0
		if idle && idleReported {
			continue
		}
		idleReported = idle
		last = e.send(report, last)
	}
}

// send sends a report to the peers that follow position last in rotation and returns the position of the last one reached.
func (e *InFlightExchange) send(report core.InFlight, last int) int {
	peers := e.Peers()
	var next []string
	for range min(peersPerRound, len(peers)) {
		last = (last + 1) % len(peers)
		next = append(next, peers[last])
	}
	e.sendTo(report, next)
	return last
}

// sendTo sends a report to peers.
func (e *InFlightExchange) sendTo(report core.InFlight, peers []string) {
	payload, err := wire.Encode(report)
	if err != nil {
		event.DocumentInvalid.Write(e.Log, zap.Error(err))
		return
	}
	for _, peer := range peers {
		// The next report replaces one that could not be sent; links log their own failures.
		_ = e.Links.Send(peer, core.TopicInFlight, payload)
	}
}
