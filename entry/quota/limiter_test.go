package quota_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/core/timer"
	"ebonyrouter.dev/core/wire"
	"ebonyrouter.dev/entry/quota"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakeCoordinator grants every waiting request until err is set. It is also the links to a remote coordinator.
type fakeCoordinator struct {
	core.Links
	address string

	mu        sync.Mutex
	err       error
	finds     int
	asks      int
	connected map[string]int
	refuse    bool
}

func (f *fakeCoordinator) set(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
}

func (f *fakeCoordinator) counts() (finds, asks int, connected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.finds, f.asks, f.connected[f.address] > 0
}

func (f *fakeCoordinator) Find(context.Context) (core.QuotaRecord, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finds++
	return core.QuotaRecord{Host: "c", Incarnation: "i", LinkAddress: f.address, Token: core.QuotaToken{Era: 1, Number: 1}}, nil
}

func (f *fakeCoordinator) Answer(_ context.Context, ask core.QuotaAsk) (core.QuotaReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asks++
	reply := core.QuotaReply{Coordinating: true, Number: ask.Number, Token: core.QuotaToken{Era: 1, Number: 1}}
	for _, c := range ask.Customers {
		share := core.QuotaShare{Customer: c.Customer, Burst: float64(c.Waiting), Tokens: float64(c.Waiting)}
		if f.refuse {
			share = core.QuotaShare{Customer: c.Customer, Exhausted: true}
		}
		reply.Shares = append(reply.Shares, share)
	}
	return reply, f.err
}

func (f *fakeCoordinator) Request(ctx context.Context, _, _ string, payload []byte) ([]byte, error) {
	var ask core.QuotaAsk
	if err := wire.Decode(payload, &ask); err != nil {
		return nil, err
	}
	reply, err := f.Answer(ctx, ask)
	if err != nil {
		return nil, err
	}
	return wire.Encode(reply)
}

func (f *fakeCoordinator) Connect(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connected[address]++
}

func (f *fakeCoordinator) Disconnect(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connected[address]--
}

// limiterFixture is a running limiter whose clock advances by itself while advance is called.
type limiterFixture struct {
	clock       *timer.Manual
	coordinator *fakeCoordinator
	limiter     *quota.Limiter
}

const ownAddress = "10.0.0.1:7"

func newLimiter(t *testing.T, coordinatorAddress string) *limiterFixture {
	f := &limiterFixture{clock: timer.NewManual(), coordinator: &fakeCoordinator{address: coordinatorAddress, connected: map[string]int{}}}
	f.limiter = quota.NewLimiter(quota.Config{
		Bounds: simBounds, Coordinator: f.coordinator, Links: f.coordinator, Log: zap.NewNop(), Timer: f.clock,
		Rank: func() (int, int) { return -1, 1 },
		Self: core.Host{Host: "h", Incarnation: "i", LinkAddress: ownAddress},
	})
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { f.limiter.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return f
}

// take takes one request while the clock advances.
func (f *limiterFixture) take(customer *core.CustomerSettings) (time.Duration, error) {
	result, start := make(chan error, 1), f.clock.Now()
	go func() { result <- f.limiter.Take(customer) }()
	for {
		select {
		case err := <-result:
			return f.clock.Now().Sub(start), err
		case <-time.After(time.Millisecond):
			f.clock.Advance(5 * time.Millisecond)
		}
	}
}

// TestLimiterWaitsForShare guards against the refusal of the first request of a customer, whose share is on its way, with a
// coordinator in this process or behind a link that is not open yet.
func TestLimiterWaitsForShare(t *testing.T) {
	customer := &core.CustomerSettings{Name: "c", RequestsPerSecond: 5}
	for name, address := range map[string]string{"own": ownAddress, "remote": "10.0.0.2:7"} {
		t.Run(name, func(t *testing.T) {
			f := newLimiter(t, address)
			if address != ownAddress {
				f.coordinator.set(core.ErrLinkDown)
				time.AfterFunc(20*time.Millisecond, func() { f.coordinator.set(nil) })
			}
			_, err := f.take(customer)
			assert.NilError(t, err)
			_, _, connected := f.coordinator.counts()
			assert.Equal(t, connected, address != ownAddress)
		})
	}
}

// TestLimiterRefuses guards against a refusal without its time to retry or its share, against requests that wait although the
// coordinator does not answer for long or has nothing left, and against waits without end.
func TestLimiterRefuses(t *testing.T) {
	customer := &core.CustomerSettings{Name: "c", RequestsPerSecond: 5}
	check := func(err error) {
		t.Helper()
		var rejected *core.RejectedError
		assert.Assert(t, err != nil)
		assert.ErrorType(t, err, rejected)
		rejected = err.(*core.RejectedError) //nolint:errorlint,forcetypeassert // Checked above.
		assert.Equal(t, rejected.Code, codes.QuotaExceeded)
		assert.Assert(t, rejected.RetryAfter >= 100*time.Millisecond && strings.Contains(rejected.Text, "share"), "%v", rejected)
	}
	f := newLimiter(t, ownAddress)
	f.coordinator.refuse = true
	waited, err := f.take(customer)
	check(err)
	assert.Assert(t, waited < 300*time.Millisecond, "nothing is left: %v", waited)
	f = newLimiter(t, ownAddress)
	f.coordinator.set(core.ErrNoReply)
	waited, err = f.take(customer)
	check(err)
	assert.Assert(t, waited <= 700*time.Millisecond, "%v", waited)
	f.clock.Advance(time.Second)
	waited, err = f.take(customer)
	check(err)
	assert.Assert(t, waited < 100*time.Millisecond, "%v", waited)
}

// TestIdleLimiterIsSilent guards against calls and links of hosts without requests of customers with a quota, and against a link
// that stays open after the last of them.
func TestIdleLimiterIsSilent(t *testing.T) {
	f := newLimiter(t, "10.0.0.2:7")
	assert.NilError(t, f.limiter.Take(&core.CustomerSettings{Name: "unlimited"}))
	for range 100 {
		f.clock.Advance(time.Second)
	}
	finds, asks, connected := f.coordinator.counts()
	assert.Assert(t, finds == 0 && asks == 0 && !connected)
	_, err := f.take(&core.CustomerSettings{Name: "c", RequestsPerSecond: 5})
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.clock.Advance(50 * time.Millisecond)
		if _, _, connected := f.coordinator.counts(); connected || f.limiter.Customers() > 0 {
			return poll.Continue("%d customers, connected: %v", f.limiter.Customers(), connected)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(20*time.Second))
}
