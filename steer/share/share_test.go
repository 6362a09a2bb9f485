package share_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/timer"
	"ebonyrouter.dev/steer/share"
)

var (
	bounds   = core.QuotaBounds{Over: 0.1, Slack: 20, Window: 5 * time.Second}
	customer = core.CustomerSettings{Name: "c", RequestsPerSecond: 20, Burst: 10}
)

// takeoverWait is the time after the first read of a record for which a successor may not grant more than what hosts report.
const takeoverWait = core.QuotaCoordinatorLease + core.QuotaLease + core.ClockDriftMargin

// memory is a core.QuotaStore in memory that all processes of a test share.
type memory struct {
	current core.QuotaRead
	era     int64
	// err is returned by the next write, after it was executed if executed is set. late is the write that was not.
	err      error
	executed bool
	late     func()
	// onWrite is called before the next write is executed.
	onWrite func()
	writes  int
}

func (m *memory) FirstEra() int64 { return 1 }

func (m *memory) Read(context.Context) (core.QuotaRead, error) {
	read := m.current
	read.Era = m.era
	return read, nil
}

func (m *memory) Write(_ context.Context, record core.QuotaRecord, revision int64) (int64, int64, error) {
	m.writes++
	if hook := m.onWrite; hook != nil {
		m.onWrite = nil
		hook()
	}
	execute := func() error {
		if m.current.Revision != revision {
			return core.ErrConflict
		}
		m.current = core.QuotaRead{Record: record, Revision: revision + 1}
		return nil
	}
	if err := m.err; err != nil {
		m.err = nil
		if m.executed {
			return 0, 0, errorOr(execute(), err)
		}
		m.late = func() { _ = execute() }
		return 0, 0, err
	}
	return revision + 1, m.era, execute()
}

func errorOr(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

// fixture is a store and the processes a and b that may coordinate.
type fixture struct {
	a, b  *share.Coordinator
	clock *timer.Manual
	store *memory
	// quota is the customer in the settings in force.
	quota   core.CustomerSettings
	numbers map[string]int64
}

func newFixture(firstStart bool) *fixture {
	f := &fixture{clock: timer.NewManual(), store: &memory{era: 1}, quota: customer, numbers: map[string]int64{}}
	f.a, f.b = f.start("a", "i1", firstStart), f.start("b", "i1", firstStart)
	return f
}

// start returns the coordinator of a new process.
func (f *fixture) start(host, incarnation string, firstStart bool) *share.Coordinator {
	self := core.Host{Host: host, Incarnation: incarnation, LinkAddress: map[string]string{"a": "10.0.0.1:7", "b": "10.0.0.2:7"}[host]}
	return share.NewCoordinator(share.NewElector(self, f.store, bounds, firstStart, f.clock, zap.NewNop()), f)
}

// Current implements core.SettingsSource.
func (f *fixture) Current() *core.Snapshot {
	second := f.quota
	second.Name = "d"
	return &core.Snapshot{Customers: core.NewCustomerPlan([]core.CustomerSettings{f.quota, second})}
}

// ask asks a coordinator for a host that holds the given share and has the given demand.
func (f *fixture) ask(t *testing.T, c *share.Coordinator, host string, held core.QuotaShare, demand float64) core.QuotaReply {
	t.Helper()
	f.numbers[host]++
	reply, err := c.Answer(t.Context(), core.QuotaAsk{
		Host: host, Incarnation: "i1", Number: f.numbers[host], Customers: []core.QuotaDemand{{
			Customer: "c", Burst: held.Burst, Rate: held.Rate, Demand: demand, Waiting: int(demand),
		}},
	})
	assert.NilError(t, err)
	return reply
}

// granted returns the only share of a reply of a coordinator.
func granted(t *testing.T, reply core.QuotaReply) core.QuotaShare {
	t.Helper()
	assert.Assert(t, reply.Coordinating)
	assert.Equal(t, len(reply.Shares), 1)
	return reply.Shares[0]
}

func find(t *testing.T, c *share.Coordinator) core.QuotaRecord {
	t.Helper()
	record, err := c.Find(t.Context())
	assert.NilError(t, err)
	return record
}

// observe lets a process read the record until the lease of the coordinator has ended without a renewal.
func (f *fixture) observe(t *testing.T, c *share.Coordinator) core.QuotaRecord {
	t.Helper()
	record := find(t, c)
	for range 5 {
		f.clock.Advance(time.Second)
		record = find(t, c)
	}
	return record
}

// TestFirstCoordinator guards against a wait at the first start of a deployment, in which requests within the quota would be
// refused, and against two first coordinators.
func TestFirstCoordinator(t *testing.T) {
	f := newFixture(true)
	assert.Equal(t, find(t, f.a).Host, "a")
	assert.Equal(t, find(t, f.b).Host, "a")
	s := granted(t, f.ask(t, f.a, "h", core.QuotaShare{}, 10))
	assert.Assert(t, s.Rate > 10 && s.Tokens >= 10, "%v", s)
	assert.Assert(t, !f.ask(t, f.b, "h", core.QuotaShare{}, 10).Coordinating)
}

// TestSuccessor guards against a successor that grants more than what hosts report as held before all shares of its predecessor
// have ended, or that begins with an unused burst, and against a host that loses its share in between.
func TestSuccessor(t *testing.T) {
	f := newFixture(true)
	find(t, f.a)
	held := granted(t, f.ask(t, f.a, "h", core.QuotaShare{}, 10))
	first := f.clock.Now()
	assert.Equal(t, f.observe(t, f.b).Host, "b")
	s := granted(t, f.ask(t, f.b, "h", held, 15))
	assert.Assert(t, s.Rate > 9.9 && s.Rate <= held.Rate, "%v of %v", s.Rate, held.Rate)
	assert.Equal(t, granted(t, f.ask(t, f.b, "other", core.QuotaShare{}, 5)).Rate, 0.0)
	f.clock.Advance(takeoverWait - f.clock.Now().Sub(first) - time.Millisecond)
	assert.NilError(t, f.b.Renew(t.Context()))
	other := granted(t, f.ask(t, f.b, "other", core.QuotaShare{}, 5))
	assert.Assert(t, other.Rate+s.Rate <= held.Rate+1e-9, "%v", other)
	f.clock.Advance(2 * time.Millisecond)
	other = granted(t, f.ask(t, f.b, "other", other, 5))
	assert.Assert(t, other.Rate > 1, "%v", other)
	reply, err := f.b.Answer(t.Context(), core.QuotaAsk{
		Host: "third", Incarnation: "i", Number: 1, Customers: []core.QuotaDemand{{Customer: "d", Waiting: 30}},
	})
	assert.NilError(t, err)
	assert.Assert(t, granted(t, reply).Tokens < 1, "a pool that began full: %v", reply)
	assert.Assert(t, !f.ask(t, f.a, "h", held, 15).Coordinating, "the predecessor grants after it was replaced")
}

// TestElection guards against two coordinators, a repeated token, and a coordinator that grants by a lease that it may not have.
// Each case ends with the process that grants shares, or none.
func TestElection(t *testing.T) {
	lost := core.ErrUnavailable
	cases := map[string]struct {
		play  func(t *testing.T, f *fixture)
		grant string
	}{
		"renewed": {func(t *testing.T, f *fixture) {
			f.clock.Advance(3 * time.Second)
			assert.NilError(t, f.a.Renew(t.Context()))
			f.clock.Advance(3 * time.Second)
		}, "a"},
		"paused beyond its lease, nobody else asked": {func(_ *testing.T, f *fixture) { f.clock.Advance(time.Minute) }, "a"},
		"paused beyond its lease, replaced": {func(t *testing.T, f *fixture) {
			f.observe(t, f.b)
		}, "b"},
		"store away beyond its lease": {func(t *testing.T, f *fixture) {
			f.clock.Advance(time.Minute)
			f.store.err = lost
			assert.ErrorIs(t, f.a.Renew(t.Context()), lost)
			f.store.err = lost
		}, ""},
		"renewal lost but executed": {func(t *testing.T, f *fixture) {
			f.store.err, f.store.executed = lost, true
			assert.ErrorIs(t, f.a.Renew(t.Context()), lost)
			f.clock.Advance(5 * time.Second)
			assert.NilError(t, f.a.Renew(t.Context()))
		}, "a"},
		"late renewal after a successor's election": {func(t *testing.T, f *fixture) {
			f.store.err = lost
			assert.ErrorIs(t, f.a.Renew(t.Context()), lost)
			f.observe(t, f.b)
			f.store.late()
		}, "b"},
		"replaced while its renewal is on its way": {func(t *testing.T, f *fixture) {
			f.observe(t, f.b)
			f.store.onWrite = func() { assert.NilError(t, f.b.Renew(t.Context())) }
			assert.NilError(t, f.a.Renew(t.Context()))
		}, "b"},
		"store restored": {func(t *testing.T, f *fixture) {
			f.store.current, f.store.era = core.QuotaRead{}, 2
			assert.NilError(t, f.a.Renew(t.Context()))
		}, ""},
		"store restored before a renewal at a repeated revision": {func(t *testing.T, f *fixture) {
			f.store.onWrite = func() { f.store.era = 2 }
			assert.ErrorIs(t, f.a.Renew(t.Context()), core.ErrUncertain)
		}, ""},
		"store restored, read by the coordinator": {func(t *testing.T, f *fixture) {
			f.store.era = 2
			f.clock.Advance(time.Second)
			record := find(t, f.a)
			assert.Equal(t, record.Token.Era, int64(2), "elected again in the new era, with an empty book")
			s := granted(t, f.ask(t, f.a, "new", core.QuotaShare{}, 10))
			assert.Equal(t, s.Rate+s.Tokens, 0.0)
		}, "a"},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(true)
			token := find(t, f.a).Token
			granted(t, f.ask(t, f.a, "h", core.QuotaShare{}, 1))
			k.play(t, f)
			for host, c := range map[string]*share.Coordinator{"a": f.a, "b": f.b} {
				f.numbers[host]++
				reply, err := c.Answer(t.Context(), core.QuotaAsk{Host: "x" + host, Incarnation: "i", Number: 1})
				assert.Equal(t, err == nil && reply.Coordinating, host == k.grant, "%s: %v", host, err)
			}
			record := f.store.current.Record
			assert.Assert(t, record.Host == "" || record.Host == "a" || token.Less(record.Token), "%v", record)
		})
	}
}

// TestRestoredStoreRepeatsNoToken guards against a token that two elections share after an older copy of the store has come back.
func TestRestoredStoreRepeatsNoToken(t *testing.T) {
	f := newFixture(true)
	find(t, f.a)
	older := f.store.current
	tokens := map[core.QuotaToken]string{find(t, f.a).Token: "a"}
	second := f.observe(t, f.b).Token
	assert.Equal(t, tokens[second], "")
	tokens[second] = "b"
	f.store.current, f.store.era = older, 2
	c := f.start("b", "i2", false)
	for range 6 {
		f.clock.Advance(time.Second)
		find(t, c)
	}
	third := f.store.current.Record
	assert.Equal(t, third.Incarnation, "i2")
	assert.Equal(t, tokens[third.Token], "")
	assert.Assert(t, second.Less(third.Token))
	reply, err := f.b.Answer(t.Context(), core.QuotaAsk{Host: "h", Incarnation: "i", Number: 1})
	assert.ErrorIs(t, err, core.ErrUncertain)
	assert.Assert(t, !reply.Coordinating)
}

// TestLowerQuota guards against a lower quota that does not apply with the next renewal of each share.
func TestLowerQuota(t *testing.T) {
	f := newFixture(true)
	find(t, f.a)
	held := map[string]core.QuotaShare{}
	renew := func() (total float64) {
		for _, host := range []string{"h", "i"} {
			held[host] = granted(t, f.ask(t, f.a, host, held[host], 9))
			total += held[host].Rate
		}
		return total
	}
	renew()
	renew()
	assert.Assert(t, renew() > 15)
	f.quota.RequestsPerSecond = 4
	renew()
	f.clock.Advance(500 * time.Millisecond)
	assert.Assert(t, renew() <= 4, "%v", held)
}

// TestStaleAsk guards against an ask that arrives after a later one of its host. Its reply is not used, so that it must not change
// what the host is known to hold.
func TestStaleAsk(t *testing.T) {
	b := share.NewFirstBook(bounds, 0)
	lookup := func(string) (*core.CustomerSettings, bool) { return &customer, true }
	ask := core.QuotaAsk{Host: "h", Incarnation: "i", Number: 2, Customers: []core.QuotaDemand{{Customer: "c", Demand: 10}}}
	_, current := b.Answer(ask, lookup, 0)
	assert.Assert(t, current)
	ask.Number, ask.Customers[0].Demand = 1, 0
	_, current = b.Answer(ask, lookup, 1)
	assert.Assert(t, !current)
	other := core.QuotaAsk{Host: "o", Incarnation: "i", Number: 1, Customers: []core.QuotaDemand{{Customer: "c", Demand: 30}}}
	shares, _ := b.Answer(other, lookup, 2)
	assert.Assert(t, shares[0].Rate <= 20-11+1e-9, "%v", shares)
}

// TestBookForgets guards against memory for customers and processes that hold nothing any more.
func TestBookForgets(t *testing.T) {
	b := share.NewFirstBook(bounds, 0)
	lookup := func(string) (*core.CustomerSettings, bool) { return &customer, true }
	ask := core.QuotaAsk{Host: "h", Incarnation: "i", Number: 1, Customers: []core.QuotaDemand{{Customer: "c", Demand: 10, Waiting: 5}}}
	b.Answer(ask, lookup, 0)
	b.Prune(core.Instant(time.Second))
	assert.Equal(t, b.Customers(), 1)
	b.Prune(core.Instant(20 * time.Second))
	b.Prune(core.Instant(30 * time.Second))
	assert.Equal(t, b.Customers(), 0)
}

// TestPoolOfSuccessorStartsEmpty guards against a burst that is handed out a second time after a takeover: the customers that nobody
// asked for during the wait have used theirs up to its end.
func TestPoolOfSuccessorStartsEmpty(t *testing.T) {
	openAt := core.Instant(time.Minute)
	b := share.NewBook(bounds, openAt)
	lookup := func(string) (*core.CustomerSettings, bool) { return &customer, true }
	ask := core.QuotaAsk{Host: "h", Incarnation: "i", Number: 1, Customers: []core.QuotaDemand{{Customer: "c", Demand: 10, Waiting: 30}}}
	shares, _ := b.Answer(ask, lookup, openAt.Add(100*time.Millisecond))
	assert.Assert(t, shares[0].Tokens <= 2, "%v", shares)
}

// TestLateWriteAfterRestore guards against a repeated token after a late write of the old era has overwritten the first record of the
// new era, which the next elector has never seen.
func TestLateWriteAfterRestore(t *testing.T) {
	f := newFixture(true)
	find(t, f.a)
	older := f.store.current
	assert.NilError(t, f.a.Renew(t.Context()))
	f.store.err = core.ErrUnavailable
	assert.ErrorIs(t, f.a.Renew(t.Context()), core.ErrUnavailable)
	f.store.current, f.store.era = older, 2
	first := f.observe(t, f.b).Token
	f.store.late()
	assert.Equal(t, f.store.current.Record.Host, "a")
	second := f.observe(t, f.start("b", "i2", false)).Token
	assert.Assert(t, first.Less(second), "%v after %v", second, first)
}

// TestFullPoolOnlyOnce guards against a pool that begins full a second time, while shares of the first coordinator may be in use: after
// the record was deleted, or after the store has come back as a copy from before the record.
func TestFullPoolOnlyOnce(t *testing.T) {
	cases := map[string]func(f *fixture) *share.Coordinator{
		"record deleted": func(f *fixture) *share.Coordinator { return f.a },
		"restored from before the record, elector has never read": func(f *fixture) *share.Coordinator {
			f.store.era = 2
			return f.b
		},
	}
	for name, lose := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(true)
			find(t, f.a)
			granted(t, f.ask(t, f.a, "h", core.QuotaShare{}, 10))
			f.clock.Advance(5 * time.Second)
			f.store.current = core.QuotaRead{}
			successor := lose(f)
			find(t, successor)
			s := granted(t, f.ask(t, successor, "new", core.QuotaShare{}, 10))
			assert.Equal(t, s.Rate+s.Tokens, 0.0)
		})
	}
}

// TestReplacedHolders guards against a successor that divides a quota while processes of its predecessor may hold shares, and against
// one that waits for the leases of processes that others have replaced, as after a restart of all hosts.
func TestReplacedHolders(t *testing.T) {
	type asker struct{ host, incarnation string }
	old := []asker{{"h1", "i1"}, {"h2", "i1"}}
	cases := map[string]struct {
		// asks of processes, each repeated after gap.
		asks    []asker
		gap     time.Duration
		granted bool
	}{
		"all are replaced":         {[]asker{{"h1", "i2"}, {"h2", "i2"}}, 400 * time.Millisecond, true},
		"one does not return":      {[]asker{{"h1", "i2"}}, 400 * time.Millisecond, false},
		"one was not restarted":    {[]asker{{"h1", "i2"}, {"h2", "i1"}}, 400 * time.Millisecond, false},
		"asks that came at once":   {[]asker{{"h1", "i2"}, {"h2", "i2"}}, 0, false},
		"processes of other hosts": {[]asker{{"h3", "i2"}, {"h4", "i2"}}, 400 * time.Millisecond, false},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(true)
			find(t, f.a)
			numbers := map[asker]int64{}
			ask := func(c *share.Coordinator, from asker) core.QuotaReply {
				numbers[from]++
				reply, err := c.Answer(t.Context(), core.QuotaAsk{
					Host: from.host, Incarnation: from.incarnation, Number: numbers[from],
					Customers: []core.QuotaDemand{{Customer: "c", Demand: 1, Waiting: 1}},
				})
				assert.NilError(t, err)
				return reply
			}
			for _, from := range old {
				granted(t, ask(f.a, from))
				assert.Assert(t, strings.Contains(f.store.current.Record.Holders, from.host+"/"+from.incarnation), "not named before its first share")
			}
			f.clock.Advance(time.Second)
			successor := f.start("a", "i2", false)
			for range 2 {
				for _, from := range k.asks {
					ask(successor, from)
				}
				f.clock.Advance(k.gap)
			}
			f.clock.Advance(400 * time.Millisecond)
			s := granted(t, ask(successor, k.asks[0]))
			assert.Equal(t, s.Rate+s.Tokens > 0, k.granted, "%+v", s)
			f.clock.Advance(core.QuotaLease + time.Second)
			ask(successor, k.asks[0])
			s = granted(t, ask(successor, k.asks[0]))
			assert.Assert(t, s.Rate+s.Tokens > 0, "nothing is granted after all leases have ended")
		})
	}
}

// TestHoldersOfAnEarlierEra guards against a successor that trusts the holders of a record that a restored store has lost writes of.
func TestHoldersOfAnEarlierEra(t *testing.T) {
	f := newFixture(true)
	find(t, f.a)
	f.store.era = 2
	successor := f.start("a", "i2", false)
	reply := f.ask(t, successor, "h", core.QuotaShare{}, 1)
	s := granted(t, reply)
	assert.Equal(t, s.Rate+s.Tokens, 0.0)
	assert.Equal(t, f.store.current.Record.Holders, "/,h/i1")
}

// TestRegisteredHolders guards against a successor that waits for the leases of processes whose hosts have restarted and ask for no shares.
func TestRegisteredHolders(t *testing.T) {
	for name, replaced := range map[string]bool{"hosts have restarted": true, "one runs on": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(true)
			find(t, f.a)
			granted(t, f.ask(t, f.a, "h1", core.QuotaShare{}, 1))
			granted(t, f.ask(t, f.a, "h2", core.QuotaShare{}, 1))
			revision := f.store.current.Revision
			self := core.Host{Host: "a", Incarnation: "i2", LinkAddress: "10.0.0.1:7"}
			registered := func(host, incarnation string, after, era int64) bool {
				return after == revision && era == 1 && incarnation == "i1" && (host == "h1" || replaced)
			}
			successor := share.NewCoordinator(share.NewElector(self, f.store, bounds, false, f.clock, zap.NewNop(), share.WithReplaced(registered)), f)
			f.ask(t, successor, "h3", core.QuotaShare{}, 1)
			f.clock.Advance(500 * time.Millisecond)
			s := granted(t, f.ask(t, successor, "h3", core.QuotaShare{}, 1))
			assert.Equal(t, s.Rate+s.Tokens > 0, replaced, "%+v", s)
		})
	}
}
