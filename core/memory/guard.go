package memory

import (
	"context"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/meter"
)

// reportInterval is the interval at which refusals are logged. Single refusals are not, because a crowd causes thousands a second.
const reportInterval = 5 * time.Second

// Guard bounds the memory and the connections of a process, and logs and exports what it holds and refuses.
type Guard struct {
	Budget *Budget
	// LinkBudget is charged for the frames of links.
	LinkBudget *Budget
	// Listeners are the bounded listeners by the name of their port.
	Listeners map[string]*Listener
	Limits    Limits
	Log       *zap.Logger
	Timer     core.Timer

	sockets *sockets
}

// NewGuard returns a guard with the limits of a host, and sets the soft limit of the Go runtime. The arguments are those of NewLimits.
func NewGuard(memoryMB, descriptors int, log *zap.Logger, timer core.Timer) *Guard {
	limits := NewLimits(memoryMB, descriptors)
	limits.SetSoftLimit()
	return &Guard{
		Budget: NewBudget(limits.BudgetBytes), LinkBudget: NewBudget(limits.LinkBytes), Limits: limits, Listeners: map[string]*Listener{},
		Log: log, Timer: timer, sockets: newSockets(limits.SocketBytes),
	}
}

// Listen bounds the connections of a listener and the memory that they hold. The port is its name in logs and metrics.
func (g *Guard) Listen(listener net.Listener, port string, maxConns int) net.Listener {
	l := &Listener{
		Listener: listener, Budget: g.Budget, HeaderLines: g.Limits.HeaderLines, MaxConns: maxConns, Refusal: RefusalHTTP,
		sockets: g.sockets,
	}
	g.Listeners[port] = l
	return l
}

// ListenLinks is Listen for the port for links, whose connections are not charged: hosts need them most while clients use up the budget.
func (g *Guard) ListenLinks(listener net.Listener) net.Listener {
	l := &Listener{Listener: listener, MaxConns: g.Limits.Links, sockets: g.sockets}
	g.Listeners["links"] = l
	return l
}

// Export registers the metrics.
func (g *Guard) Export(to *meter.Meter) {
	to.Gauge("ebony_memory_budget_bytes", func() float64 { return float64(g.Budget.Total()) })
	to.Gauge("ebony_memory_held_bytes", func() float64 { return float64(g.Budget.Held()) })
	to.Gauge("ebony_memory_refused_total", func() float64 { return float64(g.Budget.Refused()) })
	to.Gauge("ebony_link_memory_budget_bytes", func() float64 { return float64(g.LinkBudget.Total()) })
	to.Gauge("ebony_link_memory_held_bytes", func() float64 { return float64(g.LinkBudget.Held()) })
	to.Gauge("ebony_link_memory_refused_total", func() float64 { return float64(g.LinkBudget.Refused()) })
	for port, l := range g.Listeners {
		to.Gauge(fmt.Sprintf("ebony_connections_open{port=%q}", port), func() float64 { return float64(l.Open()) })
		to.Gauge(fmt.Sprintf("ebony_connections_refused_total{port=%q}", port), func() float64 { return float64(l.Refused()) })
		to.Gauge(fmt.Sprintf("ebony_connections_evicted_total{port=%q}", port), func() float64 { return float64(l.Evicted()) })
	}
}

// Run logs the limits, and every 5 s what was refused since the last time, until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	event.MemoryLimits.Write(g.Log, zap.Int64("budget_bytes", g.Limits.BudgetBytes), zap.Int64("soft_limit_bytes", g.Limits.SoftBytes),
		zap.Int("caller_connections", g.Limits.Callers), zap.Int64("header_lines", g.Limits.HeaderLines))
	ticks := g.Timer.Subscribe(reportInterval)
	defer ticks.Stop()
	memory, refused, evicted := int64(0), map[string]int64{}, map[string]int64{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
		if count := g.Budget.Refused(); count > memory {
			event.MemoryExhausted.Write(g.Log, zap.Int64("refused", count-memory), zap.Int64("held_bytes", g.Budget.Held()))
			memory = count
		}
		for port, l := range g.Listeners {
			if count := l.Refused(); count > refused[port] {
				event.ConnectionsRefused.Write(g.Log, zap.String("port", port), zap.Int64("refused", count-refused[port]), zap.Int("open", l.Open()))
				refused[port] = count
			}
			if count := l.Evicted(); count > evicted[port] {
				event.ConnectionsEvicted.Write(g.Log, zap.String("port", port), zap.Int64("evicted", count-evicted[port]))
				evicted[port] = count
			}
		}
	}
}
