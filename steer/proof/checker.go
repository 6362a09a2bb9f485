package proof

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
)

// Checker implements core.FreshnessChecker. A host keeps its proof recent while it has requests with keys.
type Checker struct {
	config   Config
	counters counters
	// demandAt is the core.Instant of the last request with a key, or 0.
	demandAt atomic.Int64
	// failing is set while refreshes fail; requests are then refused without a wait.
	failing atomic.Bool
	mutex   sync.Mutex
	// parked is set while Run waits for demand.
	parked atomic.Bool
	// reading is the read of the store in progress, or nil; lastRead is the last one that ended.
	reading  *reading
	lastRead *reading
	// refusing is set from the first refused request to the next accepted one.
	refusing atomic.Bool
	// settingsRead is the last call of ReadSettings; the mutex guards it.
	settingsRead settingsRead
	state        atomic.Pointer[state]
	// wake makes Run look at the state again.
	wake chan struct{}
}

var _ core.FreshnessChecker = (*Checker)(nil)

// New returns a Checker and registers its request handler with the links. Run must be called.
func New(config Config) *Checker {
	if config.Random == nil {
		config.Random = randomBelow
	}
	c := &Checker{config: config, wake: make(chan struct{}, 1)}
	c.state.Store(&state{changed: make(chan struct{})})
	config.Links.HandleRequest(core.TopicSettingsProof, c.handleRequest)
	return c
}

// Await implements core.FreshnessChecker.Await. It waits for 300 ms at most, and not at all if the last attempts to get a proof have
// failed. If newer settings are known, it returns as soon as they are in force, so that the caller can look up the key in them.
func (c *Checker) Await(ctx context.Context, revision int64) error {
	c.noteDemand()
	err := c.check(revision)
	if err == nil || err == errNoProof && c.failing.Load() {
		return c.result(err)
	}
	timeout := c.config.Timer.After(awaitTime)
	for {
		current := c.state.Load()
		if err = c.check(revision); err == nil {
			return c.result(nil)
		}
		if err == errOutdated && c.config.Settings.Current().Revision() > revision {
			// The request is not refused yet, so it is not counted as such.
			return err
		}
		c.wakeRun()
		select {
		case <-current.changed:
		case <-ctx.Done():
			return c.result(err)
		case <-timeout:
			return c.result(err)
		}
	}
}

// Check implements core.FreshnessChecker.Check.
func (c *Checker) Check(revision int64) error {
	c.noteDemand()
	return c.result(c.check(revision))
}

// ObserveEra discards a proof of an era of the store before the given one.
func (c *Checker) ObserveEra(era int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if current := c.state.Load(); era > current.era {
		c.replace(current.inEra(era))
	}
}

// ObserveSettings makes Await look at the settings in force again. It must be called when they change and does not block.
func (c *Checker) ObserveSettings(*core.Snapshot) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	current := c.state.Load()
	c.replace(current.inEra(current.era))
}

// check returns nil, errNoProof or errOutdated.
func (c *Checker) check(revision int64) *core.RejectedError {
	s := c.state.Load()
	digest := ""
	if inForce := c.config.Settings.Current(); inForce != nil && inForce.Head.Revision == revision {
		digest = inForce.Head.Digest
	}
	if s.outdated(revision, digest) {
		c.readSettings()
		return errOutdated
	}
	if age, proven := s.age(c.config.Timer.Now()); !proven || age > c.config.MaxAge {
		return errNoProof
	}
	return nil
}

// result counts the outcome of a request, logs when requests begin and cease to be refused, and returns the outcome as an error.
func (c *Checker) result(rejected *core.RejectedError) error {
	if rejected == nil {
		if c.refusing.Load() && c.refusing.CompareAndSwap(true, false) {
			event.KeysAccepted.Write(c.config.Log, c.fields()...)
		}
		return nil
	}
	if rejected == errOutdated {
		c.counters.refusedRevision.Add(1)
	} else {
		c.counters.refusedAge.Add(1)
	}
	if c.refusing.CompareAndSwap(false, true) {
		event.KeysRefused.Write(c.config.Log, append(c.fields(), zap.Error(rejected))...)
	}
	return rejected
}

// fields returns the log fields that describe the state.
func (c *Checker) fields() []zap.Field {
	s := c.state.Load()
	age, proven := s.age(c.config.Timer.Now())
	return []zap.Field{
		zap.Bool("proven", proven), zap.Duration("age", age), zap.Int64("era", s.era), zap.Int64("newest", s.revision),
		zap.Int64("revision", c.config.Settings.Current().Revision()),
	}
}

// noteDemand records a request with a key.
func (c *Checker) noteDemand() {
	c.demandAt.Store(int64(c.config.Timer.Now()))
	if c.parked.Load() {
		c.wakeRun()
	}
}

// wakeRun makes Run look at the state again.
func (c *Checker) wakeRun() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// settingsRead is one call of ReadSettings.
type settingsRead struct {
	at core.Instant
	// newest is the revision that the settings lacked, and wait the time until the next call for the same one.
	newest int64
	wait   time.Duration
}

// readSettings makes the host read the settings again: at once when a higher revision is known for the first time, then with
// growing delays, because settings that this host cannot use would otherwise be read on and on.
func (c *Checker) readSettings() {
	now, newest := c.config.Timer.Now(), c.state.Load().revision
	c.mutex.Lock()
	last := c.settingsRead
	switch {
	case newest != last.newest:
		c.settingsRead = settingsRead{now, newest, minSettingsReadWait}
	case now.Sub(last.at) >= last.wait:
		c.settingsRead = settingsRead{now, newest, min(2*last.wait, maxSettingsReadWait)}
	default:
		c.mutex.Unlock()
		return
	}
	c.mutex.Unlock()
	event.SettingsOutdated.Write(c.config.Log, c.fields()...)
	c.config.ReadSettings()
}

// apply adds a finding to the state and reports whether the proof is recent afterwards.
func (c *Checker) apply(f finding) bool {
	c.mutex.Lock()
	current := c.state.Load()
	next, counts := current.with(f)
	if counts {
		c.replace(next)
	}
	c.mutex.Unlock()
	inForce := c.config.Settings.Current()
	if inForce != nil && next.outdated(inForce.Head.Revision, inForce.Head.Digest) {
		c.readSettings()
	}
	return counts && c.youngerThan(c.part(refreshPart))
}

// replace puts another state in force; the caller holds the mutex.
func (c *Checker) replace(next *state) {
	old := c.state.Swap(next)
	close(old.changed)
}

// youngerThan reports whether there is a proof with less than the given age.
func (c *Checker) youngerThan(limit time.Duration) bool {
	age, proven := c.state.Load().age(c.config.Timer.Now())
	return proven && age < limit
}
