package quota_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/timer"
	"ebonyrouter.dev/entry/quota"
	"ebonyrouter.dev/steer/share"
)

const (
	simStep       = 25 * time.Millisecond
	simAskTimeout = 600 * time.Millisecond
)

var simBounds = core.QuotaBounds{Over: 0.1, Slack: 20, Window: 5 * time.Second}

// testingT is the part of testing.T and rapid.T that the simulation uses.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// sim plays hosts, links and the store on one clock, step by step and without goroutines.
type sim struct {
	clock    *timer.Manual
	customer *core.CustomerSettings
	hosts    []*simHost
	// lossy means that one of 50 replies is late or lost.
	lossy    bool
	random   *rand.Rand
	settings *core.Snapshot
	store    *simStore
	// taken holds the instants at which requests were taken, in order.
	taken []core.Instant
}

// simHost is one host and its faults.
type simHost struct {
	coordinator *share.Coordinator
	incarnation int
	index       int
	record      core.QuotaRecord
	shares      *quota.Shares
	view        *simView

	askAt, findAt, failAt core.Instant
	dead                  bool
	linkCut               bool
	pausedUntil           core.Instant
	// pending is the reply to the ask in progress, or the loss of it.
	pending *simReply
	waiting int
}

// simReply is an ask on its way.
type simReply struct {
	answerAt, adoptAt core.Instant
	ask               core.QuotaAsk
	answered, lost    bool
	reply             core.QuotaReply
	to                string
}

func newSim(seed uint64, hosts int, customer core.CustomerSettings) *sim {
	s := &sim{
		clock: timer.NewManual(), customer: &customer, random: rand.New(rand.NewPCG(seed, 1)), settings: &core.Snapshot{},
	}
	s.settings.Customers = core.NewCustomerPlan([]core.CustomerSettings{customer})
	s.store = &simStore{clock: s.clock, era: 1}
	for i := range hosts {
		h := &simHost{index: i}
		s.hosts = append(s.hosts, h)
		s.start(h, true)
	}
	return s
}

// Current implements core.SettingsSource.
func (s *sim) Current() *core.Snapshot { return s.settings }

// start starts a host as a new incarnation that holds nothing.
func (s *sim) start(h *simHost, firstStart bool) {
	h.incarnation++
	self := core.Host{
		Host: fmt.Sprintf("h%d", h.index), Incarnation: fmt.Sprintf("i%d", h.incarnation), LinkAddress: fmt.Sprintf("10.0.0.%d:70", h.index+1),
	}
	h.view = &simView{simStore: s.store, firstEra: s.store.era}
	h.coordinator = share.NewCoordinator(share.NewElector(self, h.view, simBounds, firstStart, s.clock, zap.NewNop()), s)
	h.shares = quota.NewShares(self.Host, self.Incarnation, simBounds, s.clock.Now())
	h.record, h.pending, h.dead, h.pausedUntil, h.failAt = core.QuotaRecord{}, nil, false, 0, 0
	h.askAt, h.findAt = s.clock.Now(), 0
}

// runs reports whether a host executes anything now.
func (s *sim) runs(h *simHost) bool {
	return !h.dead && !s.clock.Now().Before(h.pausedUntil)
}

// step advances the clock and lets all hosts do what is due.
func (s *sim) step() {
	s.clock.Advance(simStep)
	s.store.executeLate()
	now := s.clock.Now()
	for _, h := range s.hosts {
		if !s.runs(h) {
			continue
		}
		s.receive(h, now)
		s.ask(h, now)
	}
	if now%core.Instant(1500*time.Millisecond) < core.Instant(simStep) {
		for _, h := range s.hosts {
			if s.runs(h) {
				_ = h.coordinator.Renew(context.Background())
			}
		}
	}
}

// receive lets the addressee of the host's ask answer, and the host adopt the reply. A host that was paused adopts a reply that
// arrived meanwhile.
func (s *sim) receive(h *simHost, now core.Instant) {
	p := h.pending
	if p == nil {
		return
	}
	if !p.answered && !now.Before(p.answerAt) {
		p.answered = true
		to := s.hostAt(p.to)
		if p.lost || h.linkCut || to == nil || to.linkCut || !s.runs(to) {
			p.lost = true
		} else if reply, err := to.coordinator.Answer(context.Background(), p.ask); err != nil {
			p.lost = true
		} else {
			p.reply = reply
		}
	}
	if now.Before(p.adoptAt) {
		return
	}
	h.pending = nil
	_, adopted := h.shares.Adopt(p.reply, now)
	switch {
	case p.answered && !p.lost && adopted:
		h.failAt = 0
	case h.failAt == 0:
		h.failAt = now
		h.findAt = now
	}
}

// hostAt returns the host with a link address.
func (s *sim) hostAt(address string) *simHost {
	for _, h := range s.hosts {
		if fmt.Sprintf("10.0.0.%d:70", h.index+1) == address {
			return h
		}
	}
	return nil
}

// ask reads the record if needed and sends an ask if one is due.
func (s *sim) ask(h *simHost, now core.Instant) {
	if h.pending != nil || (now.Before(h.askAt) && h.waiting == 0) {
		return
	}
	if h.record.Host == "" || h.failAt != 0 && !now.Before(h.findAt) {
		h.findAt = now.Add(time.Second)
		if record, err := h.coordinator.Find(context.Background()); err == nil && record.Validate() == nil && h.shares.Follow(record.Token) {
			h.record = record
		}
	}
	if h.record.Host == "" {
		return
	}
	h.shares.Wait(s.customer.Name, h.waiting)
	ask, needed := h.shares.Ask(now.Before(h.askAt), now)
	h.shares.Wait(s.customer.Name, -h.waiting)
	if !needed {
		return
	}
	if !now.Before(h.askAt) {
		h.askAt = now.Add(500 * time.Millisecond)
	}
	latency := simStep * time.Duration(1+s.random.IntN(3))
	p := &simReply{ask: ask, to: h.record.LinkAddress, answerAt: now.Add(latency), adoptAt: now.Add(2 * latency)}
	if s.lossy && s.random.IntN(50) == 0 {
		// The reply is late, or one of the two messages is lost.
		p.adoptAt = now.Add(simAskTimeout - simStep)
		p.lost = s.random.IntN(2) == 0
	}
	h.pending = p
}

// take offers one request to a host and reports whether it was taken.
func (s *sim) take(h *simHost) quota.Verdict {
	verdict := h.shares.Take(s.customer, h.index, len(s.hosts), s.clock.Now())
	if verdict == quota.Taken {
		s.taken = append(s.taken, s.clock.Now())
	}
	return verdict
}

// greedy lets a host take as many requests as it can, while more wait.
func (s *sim) greedy(h *simHost) {
	for range 1000 {
		verdict := s.take(h)
		h.shares.Count(s.customer.Name)
		if verdict != quota.Taken {
			h.waiting = 3
			return
		}
	}
}

// checkWindows fails if the requests of any window exceed what the shares, their burst and the fallback may add up to.
func (s *sim) checkWindows(t testingT, limit float64) {
	t.Helper()
	first := 0
	for i, at := range s.taken {
		for s.taken[first].Before(at.Add(-simBounds.Window)) {
			first++
		}
		if n := i - first + 1; float64(n) > limit {
			t.Fatalf("%d requests in the window that ends at %v, want at most %.1f", n, time.Duration(at), limit)
		}
	}
}

// checkHeld fails if the shares of all processes, paused ones included, add up to more than the quota.
func (s *sim) checkHeld(t testingT) {
	t.Helper()
	rate, burst, now := 0.0, 0.0, s.clock.Now()
	for _, h := range s.hosts {
		if !h.dead {
			r, b := h.shares.Held(s.customer.Name, now)
			rate, burst = rate+r, burst+b
		}
	}
	if limit := simBounds.Burst(s.customer); rate > s.customer.RequestsPerSecond+1e-6 || burst > limit+1e-6 {
		t.Fatalf("shares of %.3f requests per second and a burst of %.3f at %v, want at most %v and %.3f",
			rate, burst, time.Duration(now), s.customer.RequestsPerSecond, limit)
	}
}

// promised returns the most requests of a customer in a window according to docs/design/quota.md, without the part of the bound
// that is left unused.
func promised(c *core.CustomerSettings) float64 {
	excess := simBounds.Limit(c) - c.RequestsPerSecond*simBounds.Window.Seconds() - c.Burst
	return simBounds.Limit(c) - excess/5
}

// simStore is the object that names the coordinator, with the store's faults.
type simStore struct {
	clock   *timer.Manual
	copies  []core.QuotaRead
	current core.QuotaRead
	down    bool
	era     int64
	late    []simWrite
	// loseNext, delayNext and slow affect the next writes.
	loseNext  bool
	delayNext time.Duration
	slow      time.Duration
	// nested means that a write happens during another one.
	nested bool
}

// simWrite is a write whose response was lost and that is executed later, if its condition still holds.
type simWrite struct {
	at       core.Instant
	record   core.QuotaRecord
	revision int64
}

// restore returns to an older copy and raises the era.
func (s *simStore) restore(back int) {
	if len(s.copies) > 0 {
		s.current = s.copies[max(0, len(s.copies)-1-back)]
	}
	s.era++
}

func (s *simStore) write(record core.QuotaRecord, revision int64) bool {
	if s.current.Revision != revision {
		return false
	}
	s.copies = append(s.copies, s.current)
	s.current = core.QuotaRead{Record: record, Revision: revision + 1}
	return true
}

func (s *simStore) executeLate() {
	var rest []simWrite
	for _, w := range s.late {
		if s.clock.Now().Before(w.at) {
			rest = append(rest, w)
			continue
		}
		s.write(w.record, w.revision)
	}
	s.late = rest
}

// simView is the store as one process sees it.
type simView struct {
	*simStore
	cut      bool
	firstEra int64
	// beforeWrite is called once before the next write is executed.
	beforeWrite func()
}

var _ core.QuotaStore = (*simView)(nil)

func (v *simView) FirstEra() int64 { return v.firstEra }

func (v *simView) Read(context.Context) (core.QuotaRead, error) {
	if v.down || v.cut {
		return core.QuotaRead{}, core.ErrUnavailable
	}
	read := v.current
	read.Era = v.era
	return read, nil
}

func (v *simView) Write(_ context.Context, record core.QuotaRecord, revision int64) (int64, int64, error) {
	if hook := v.beforeWrite; hook != nil && !v.nested {
		v.beforeWrite, v.nested = nil, true
		hook()
		v.nested = false
	}
	if v.down || v.cut {
		return 0, 0, core.ErrUnavailable
	}
	if delay := v.delayNext; delay > 0 {
		v.delayNext = 0
		v.late = append(v.late, simWrite{v.clock.Now().Add(delay), record, revision})
		return 0, 0, core.ErrUnavailable
	}
	v.clock.Advance(v.slow)
	if !v.write(record, revision) {
		return 0, 0, core.ErrConflict
	}
	if v.loseNext {
		v.loseNext = false
		return 0, 0, core.ErrUnavailable
	}
	return v.current.Revision, v.era, nil
}

// run plays a span; each step calls offer first.
func (s *sim) run(d time.Duration, offer func()) {
	for end := s.clock.Now().Add(d); s.clock.Now().Before(end); {
		offer()
		s.step()
	}
}

// leader returns the host that the store names.
func (s *sim) leader() *simHost { return s.hostAt(s.store.current.Record.LinkAddress) }

var _ testingT = (*testing.T)(nil)
