package proof_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/config"
	"ebonyrouter.dev/steer/proof"
)

const (
	maxAge = 3 * time.Second
	// oneWay is the latency of links, and storeTime the usual time of a call to the store.
	oneWay    = 3500 * time.Microsecond
	storeTime = 4 * time.Millisecond
	// linkTimeout is the time after which a link to a host that does not respond is down.
	linkTimeout = time.Second
)

// region simulates the hosts of one region with their store. It runs in a synctest bubble, whose clock is the clock of all hosts.
type region struct {
	base   time.Time
	cancel context.CancelFunc
	ctx    context.Context //nolint:containedctx // The context of the whole simulation.
	hosts  []*simHost
	mutex  sync.Mutex
	random *rand.Rand
	tasks  sync.WaitGroup
	// calls counts the calls to the store.
	calls int
	// confirmed holds the times at which the revisions 1, 2 and so on were confirmed.
	confirmed []time.Time
	// callTime is the time that the store takes.
	callTime time.Duration
	era      int64
	// linkCuts holds the pairs of hosts whose links are silent.
	linkCuts map[[2]string]bool
	// first, if set, names the first reader that each host believes in.
	first func(self string) string
}

// simHost is one host of a region.
type simHost struct {
	checker *proof.Checker
	handler core.RequestHandler
	name    string
	region  *region
	// pausedAt is the start of the pause, and resume is closed at its end; it is nil while the host runs.
	pausedAt time.Time
	resume   chan struct{}
	// stop ends the process; it is nil while the host is down.
	stop     context.CancelFunc
	settings *config.Holder
	// store is what the store does with calls of the host.
	store storeFault
	// stale stops the host from following the settings by itself. settingsReads counts the calls of ReadSettings.
	stale         bool
	settingsReads int
	accepted      int
	refused       int
	lastAccepted  time.Time
	firstRefused  time.Time
	// violation describes a request that was accepted too late.
	violation string
}

// storeFault is a fault of the path from a host to the store.
type storeFault int

const (
	storeWorks storeFault = iota
	storeRefuses
	storeSilent
)

func newRegion(t *testing.T, hosts int, seed uint64) *region {
	ctx, cancel := context.WithCancel(t.Context())
	r := &region{
		base: time.Now(), callTime: storeTime, cancel: cancel, ctx: ctx, linkCuts: map[[2]string]bool{},
		random: rand.New(rand.NewPCG(seed, 0)),
	}
	r.withdraw()
	for n := range hosts {
		h := &simHost{name: fmt.Sprint("h", n), region: r}
		r.hosts = append(r.hosts, h)
		h.start()
	}
	return r
}

// close ends all hosts.
func (r *region) close() {
	for _, h := range r.hosts {
		h.unpause()
	}
	r.cancel()
	r.tasks.Wait()
}

// withdraw confirms another revision of the settings.
func (r *region) withdraw() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.confirmed = append(r.confirmed, time.Now())
}

func (r *region) newest() int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return int64(len(r.confirmed))
}

func (r *region) cut(a, b string, cut bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.linkCuts[[2]string{a, b}], r.linkCuts[[2]string{b, a}] = cut, cut
}

func (r *region) isCut(a, b string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.linkCuts[[2]string{a, b}]
}

func (r *region) host(name string) *simHost {
	for _, h := range r.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// start starts the process of the host with empty memory.
func (h *simHost) start() {
	ctx, stop := context.WithCancel(h.region.ctx)
	settings := config.NewHolder()
	h.follow(settings)
	checker := proof.New(proof.Config{
		Links: simLinks{nil, h}, Log: zap.NewNop(), MaxAge: maxAge, Newest: h,
		Random: func(limit time.Duration) time.Duration {
			h.region.mutex.Lock()
			defer h.region.mutex.Unlock()
			return time.Duration(h.region.random.Int64N(int64(limit)))
		},
		ReadSettings: func() {
			h.region.mutex.Lock()
			h.settingsReads++
			h.region.mutex.Unlock()
			h.region.tasks.Go(func() { time.Sleep(storeTime); h.follow(settings) })
		},
		Readers: h.readers, Self: h.name, Settings: settings, Timer: simTimer{nil, h},
	})
	settings.Subscribe(checker.ObserveSettings)
	h.region.mutex.Lock()
	h.checker, h.settings, h.stop = checker, settings, stop
	h.region.mutex.Unlock()
	h.region.tasks.Go(func() { checker.Run(ctx) })
	h.region.tasks.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
			h.gate()
			if !h.isStale() {
				h.follow(settings)
			}
		}
	})
}

// kill ends the process of the host.
func (h *simHost) kill() {
	h.unpause()
	h.region.mutex.Lock()
	defer h.region.mutex.Unlock()
	if h.stop != nil {
		h.stop()
		h.stop = nil
	}
}

func (h *simHost) setStale(stale bool) {
	h.region.mutex.Lock()
	defer h.region.mutex.Unlock()
	h.stale = stale
}

func (h *simHost) isStale() bool {
	h.region.mutex.Lock()
	defer h.region.mutex.Unlock()
	return h.stale
}

// follow puts the newest settings in force if the store can be reached.
func (h *simHost) follow(settings *config.Holder) {
	h.region.mutex.Lock()
	works := h.store == storeWorks && h.region.callTime < maxAge
	h.region.mutex.Unlock()
	if works {
		_ = settings.Set(&core.Snapshot{Head: core.SettingsHead{Revision: h.region.newest()}})
	}
}

func (h *simHost) pause() {
	h.region.mutex.Lock()
	defer h.region.mutex.Unlock()
	if h.resume == nil {
		h.resume, h.pausedAt = make(chan struct{}), time.Now()
	}
}

func (h *simHost) unpause() {
	h.region.mutex.Lock()
	defer h.region.mutex.Unlock()
	if h.resume != nil {
		close(h.resume)
		h.resume = nil
	}
}

// gate blocks while the host is paused.
func (h *simHost) gate() {
	for {
		h.region.mutex.Lock()
		resume := h.resume
		h.region.mutex.Unlock()
		if resume == nil {
			return
		}
		<-resume
	}
}

// unresponsive reports whether links to the host are down.
func (h *simHost) unresponsive() bool {
	h.region.mutex.Lock()
	defer h.region.mutex.Unlock()
	return h.stop == nil || h.resume != nil && time.Since(h.pausedAt) > linkTimeout
}

// readers returns the first three live hosts, as the roster does.
func (h *simHost) readers() []string {
	var all []string
	if h.region.first != nil {
		all = append(all, h.region.first(h.name))
	}
	for _, other := range h.region.hosts {
		if len(all) < 3 && (other == h || !other.unresponsive()) && (len(all) == 0 || all[0] != other.name) {
			all = append(all, other.name)
		}
	}
	return all
}

// ReadNewest implements core.NewestSettingsReader.ReadNewest.
func (h *simHost) ReadNewest(ctx context.Context) (core.NewestSettings, error) {
	h.gate()
	h.region.mutex.Lock()
	h.region.calls++
	took, fault := h.region.callTime, h.store
	h.region.mutex.Unlock()
	if fault == storeSilent {
		<-ctx.Done()
		return core.NewestSettings{}, ctx.Err()
	}
	if err := sleep(ctx, took/2); err != nil || fault == storeRefuses {
		return core.NewestSettings{}, errors.WithType(errors.New("refused"), core.ErrUnavailable)
	}
	h.region.mutex.Lock()
	newest := core.NewestSettings{Era: h.region.era, Revision: int64(len(h.region.confirmed))}
	h.region.mutex.Unlock()
	err := sleep(ctx, took/2)
	h.gate()
	return newest, err
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// send handles one request with a key and records whether it was sent, and whether it was sent too late.
func (h *simHost) send() {
	h.region.mutex.Lock()
	checker, settings, runs := h.checker, h.settings, h.stop != nil && h.resume == nil
	h.region.mutex.Unlock()
	if !runs {
		return
	}
	revision := settings.Current().Revision()
	h.region.tasks.Go(func() {
		err := checker.Await(h.region.ctx, revision)
		for err != nil && settings.Current().Revision() > revision {
			// The proxy looks up the key in the newer settings.
			revision = settings.Current().Revision()
			err = checker.Await(h.region.ctx, revision)
		}
		if err == nil {
			err = checker.Check(revision)
		}
		h.region.mutex.Lock()
		defer h.region.mutex.Unlock()
		if err != nil {
			h.refused++
			if h.firstRefused.IsZero() {
				h.firstRefused = time.Now()
			}
			return
		}
		h.accepted++
		h.lastAccepted = time.Now()
		if int(revision) < len(h.region.confirmed) {
			if late := time.Since(h.region.confirmed[revision]); late > maxAge {
				h.violation = fmt.Sprintf("%s sent a request by revision %d %v after the next one", h.name, revision, late)
			}
		}
	})
}

// run lets the given hosts receive a request with a key every 50 ms.
func (r *region) run(span time.Duration, busy ...int) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, n := range busy {
			r.hosts[n].send()
		}
	}
	synctest.Wait()
}

// forget resets what the hosts have recorded.
func (r *region) forget() {
	synctest.Wait()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.calls = 0
	for _, h := range r.hosts {
		h.accepted, h.refused, h.settingsReads, h.firstRefused = 0, 0, 0, time.Time{}
	}
}

// simTimer is the clock of a host; it blocks while the host is paused.
type simTimer struct {
	core.Timer
	host *simHost
}

func (s simTimer) Now() core.Instant {
	s.host.gate()
	return core.Instant(time.Hour + time.Since(s.host.region.base))
}

func (s simTimer) After(d time.Duration) <-chan core.Instant {
	c := make(chan core.Instant, 1)
	time.AfterFunc(d, func() { c <- core.Instant(time.Hour + time.Since(s.host.region.base)) })
	return c
}

// simLinks carries requests between the hosts of a region.
type simLinks struct {
	core.Links
	host *simHost
}

func (s simLinks) HandleRequest(_ string, handler core.RequestHandler) {
	s.host.region.mutex.Lock()
	defer s.host.region.mutex.Unlock()
	s.host.handler = handler
}

func (s simLinks) Request(ctx context.Context, address, _ string, payload []byte) ([]byte, error) {
	s.host.gate()
	r, peer := s.host.region, s.host.region.host(address)
	if peer.unresponsive() {
		return nil, core.ErrLinkDown
	}
	type reply struct {
		payload []byte
		err     error
	}
	replies := make(chan reply, 1)
	r.tasks.Go(func() {
		time.Sleep(oneWay)
		peer.gate()
		if r.isCut(s.host.name, address) || peer.unresponsive() {
			return
		}
		r.mutex.Lock()
		handler := peer.handler
		r.mutex.Unlock()
		payload, err := handler(r.ctx, s.host.name, payload)
		peer.gate()
		time.Sleep(oneWay)
		if !r.isCut(s.host.name, address) {
			replies <- reply{payload, err}
		}
	})
	select {
	case got := <-replies:
		s.host.gate()
		return got.payload, got.err
	case <-ctx.Done():
		s.host.gate()
		return nil, errors.Annotate(core.ErrNoReply, "no reply")
	}
}
