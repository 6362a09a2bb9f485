package place

import (
	"context"
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
	// Rates receives the request rate of each host, including this one.
	Rates RateRecorder
	Timer core.Timer
}

// RateRecorder records request rates of hosts.
type RateRecorder interface {
	RecordRate(host string, perSecond float64)
}

// Handle decodes and applies the report of a peer; it is a core.MessageHandler.
func (e *InFlightExchange) Handle(peer string, payload []byte) {
	var report core.InFlight
	if err := wire.Decode(payload, &report); err != nil {
		event.DocumentInvalid.Write(e.Log, zap.String("peer", peer), zap.Error(err))
		return
	}
	e.Placer.ApplyReport(report)
	e.Rates.RecordRate(report.Host, report.Rate)
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
		report := e.Placer.InFlight()
		e.Rates.RecordRate(report.Host, report.Rate)
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
	payload, err := wire.Encode(report)
	if err != nil {
		event.DocumentInvalid.Write(e.Log, zap.Error(err))
		return last
	}
	peers := e.Peers()
	for range min(peersPerRound, len(peers)) {
		last = (last + 1) % len(peers)
		// The next report replaces one that could not be sent; links log their own failures.
		_ = e.Links.Send(peers[last], core.TopicInFlight, payload)
	}
	return last
}
