package share

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
)

const (
	// maxObservationGap is the longest time between two reads that show a record as unchanged. Hosts read it every 0.8 to 1.2 s
	// while they get no shares, plus the time of an ask and of a slow read.
	maxObservationGap = 3 * time.Second
	// storeTimeout bounds one call to the store.
	storeTimeout = 2 * time.Second
)

// Elector elects the coordinator through conditional writes of one record. It is safe for concurrent use.
type Elector struct {
	bounds core.QuotaBounds
	// firstStart means that the whole deployment starts for the first time.
	firstStart bool
	log        *zap.Logger
	self       core.QuotaRecord
	store      core.QuotaStore
	timer      core.Timer

	mu sync.Mutex
	// book is the division that this process made as coordinator, or nil.
	book *Book
	// calls permits one call to the store at a time.
	calls chan struct{}
	// leaseEnd is the end of the lease of this process as coordinator.
	leaseEnd core.Instant
	// own is the last write of this process that the store confirmed; its revision is 0 if there is none to continue from.
	own core.QuotaRead
	// seen is the last read, since is the instant of the first one of an unbroken series that showed the same.
	seen     core.QuotaRead
	known    bool
	since    core.Instant
	lastRead core.Instant
	// foundOther means that a record of another process existed.
	foundOther bool
	// highest is the highest token that this process knows.
	highest core.QuotaToken
	// recorded holds the processes that the last confirmed record names as holders, and pending those that the next one adds.
	recorded map[holderKey]bool
	pending  map[holderKey]bool
	// inherited holds the holders of earlier coordinators during a takeover.
	inherited map[holderKey]bool
	replaced  func(host, incarnation string, after, era int64) bool
	// led means that this process has granted shares before.
	led bool
}

// NewElector returns an elector for a process with the given host, incarnation and link address.
func NewElector(self core.Host, store core.QuotaStore, bounds core.QuotaBounds, firstStart bool, timer core.Timer, log *zap.Logger, options ...Option) *Elector {
	e := &Elector{
		bounds: bounds, calls: make(chan struct{}, 1), firstStart: firstStart, log: log, pending: map[holderKey]bool{}, store: store, timer: timer,
		self: core.QuotaRecord{Host: self.Host, Incarnation: self.Incarnation, LinkAddress: self.LinkAddress},
	}
	for _, apply := range options {
		apply(e)
	}
	return e
}

// Option sets an option of an Elector.
type Option func(*Elector)

// WithReplaced sets a function that reports whether another process than the given one of a host was registered after a revision of an
// era of the store, so that the given one has ended.
func WithReplaced(replaced func(host, incarnation string, after, era int64) bool) Option {
	return func(e *Elector) { e.replaced = replaced }
}

// Find reads who coordinates. It takes over if there is no record or its lease has ended.
func (e *Elector) Find(ctx context.Context) (core.QuotaRecord, error) {
	if err := e.begin(ctx); err != nil {
		return core.QuotaRecord{}, err
	}
	defer e.end()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	read, err := e.read(ctx)
	if err != nil || !e.mayTakeOver(read) {
		return read.Record, err
	}
	if err = e.takeOver(ctx, read); errors.Is(err, core.ErrConflict) {
		// Another host was faster.
		read, err = e.read(ctx)
		return read.Record, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.own.Record, err
}

// succeed takes over if an earlier process of this host wrote the record.
func (e *Elector) succeed(ctx context.Context) error {
	if err := e.begin(ctx); err != nil {
		return err
	}
	defer e.end()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	read, err := e.read(ctx)
	if err != nil || !e.isPredecessor(read.Record) {
		return err
	}
	return e.takeOver(ctx, read)
}

// Renew extends the lease of this process, also one that has ended if no other process has written since. It does nothing if
// this process was not elected or was replaced.
func (e *Elector) Renew(ctx context.Context) error {
	if err := e.begin(ctx); err != nil {
		return err
	}
	defer e.end()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e.mu.Lock()
	own := e.own
	e.mu.Unlock()
	if own.Revision == 0 {
		return nil
	}
	if err := e.write(ctx, own, own.Record.Token); err == nil || !errors.Is(err, core.ErrConflict) {
		// A lost write may have been executed. The next one conflicts then, and is decided by the record.
		return err
	}
	read, err := e.read(ctx)
	if err != nil {
		return err
	}
	if !sameElection(read.Record, own.Record) || read.Era != own.Era {
		e.stepDown()
		return nil
	}
	return e.write(ctx, read, own.Record.Token)
}

// answer divides the quotas for one ask if this process may grant shares now.
func (e *Elector) answer(ask core.QuotaAsk, find FindCustomer) (reply core.QuotaReply, leading bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.timer.Now()
	e.noteToken(ask.Token)
	if e.own.Revision != 0 && e.own.Record.Token.Less(ask.Token) {
		e.stepDownLocked()
	}
	if e.book == nil || e.own.Revision == 0 {
		return core.QuotaReply{Number: ask.Number}, false
	}
	if key := (holderKey{ask.Host, ask.Incarnation}); !now.Before(e.leaseEnd) || !e.recorded[key] {
		e.pending[key] = true
		return core.QuotaReply{Number: ask.Number}, false
	}
	shares, current := e.book.Answer(ask, find, now)
	return core.QuotaReply{Coordinating: current, Number: ask.Number, Shares: shares, Token: e.own.Record.Token}, true
}

// elected reports whether this process was elected and not replaced, as far as it knows.
func (e *Elector) elected() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.own.Revision != 0
}

// prune removes from the book what no host holds any more, and returns the number of customers that it has.
func (e *Elector) prune() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.book == nil {
		return 0
	}
	e.book.Prune(e.timer.Now())
	return e.book.Customers()
}

// begin waits until no other call to the store is in progress.
func (e *Elector) begin(ctx context.Context) error {
	select {
	case e.calls <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.WithType(ctx.Err(), core.ErrUnavailable)
	}
}

func (e *Elector) end() { <-e.calls }

// read reads the record and notes since when it is unchanged.
func (e *Elector) read(ctx context.Context) (core.QuotaRead, error) {
	read, err := e.store.Read(ctx)
	if err != nil {
		return read, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.timer.Now()
	if !e.known || read != e.seen || now.Sub(e.lastRead) > maxObservationGap {
		e.since = now
	}
	e.known, e.seen, e.lastRead = true, read, now
	e.foundOther = e.foundOther || read.Revision != 0 && !e.isOwn(read.Record)
	e.noteToken(read.Record.Token)
	if e.own.Revision != 0 && (read.Era != e.own.Era || e.own.Record.Token.Less(read.Record.Token)) {
		e.stepDownLocked()
	}
	return read, nil
}

// mayTakeOver reports whether nobody renews the record that was read.
func (e *Elector) mayTakeOver(read core.QuotaRead) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.timer.Now()
	if read.Revision == 0 || e.isOwn(read.Record) {
		// An absent record names nobody. Only this process can grant shares by a record of its own, of which it may not know if the response was lost.
		return !now.Before(e.leaseEnd)
	}
	return e.isPredecessor(read.Record) || !now.Before(e.since.Add(core.QuotaCoordinatorLease+core.ClockDriftMargin))
}

// isPredecessor reports whether an earlier process of this host wrote the record. It ended before this one started.
func (e *Elector) isPredecessor(record core.QuotaRecord) bool {
	return record.Host == e.self.Host && record.LinkAddress == e.self.LinkAddress && record.Incarnation != e.self.Incarnation
}

// takeOver elects this process in place of what was read.
func (e *Elector) takeOver(ctx context.Context, read core.QuotaRead) error {
	e.mu.Lock()
	now := e.timer.Now()
	if e.book != nil && e.own.Revision != 0 && e.own.Era == read.Era && sameElection(e.own.Record, read.Record) {
		// Nobody was elected since the last write of this process, so that its book is still valid.
		token := e.own.Record.Token
		e.mu.Unlock()
		return e.write(ctx, read, token)
	}
	e.stepDownLocked()
	first := e.firstStart && !e.foundOther && !e.led && read.Era == e.store.FirstEra()
	// The last grant of any earlier coordinator was before since + QuotaCoordinatorLease, by its own lease.
	openAt := e.since.Add(core.QuotaCoordinatorLease + core.QuotaLease + core.ClockDriftMargin)
	if e.isPredecessor(read.Record) {
		openAt = now.Add(core.QuotaLease + core.ClockDriftMargin)
	}
	// A record of an earlier era may be older than the last one of its coordinator.
	namesHolders := read.Revision != 0 && read.Record.Token.Era == read.Era
	e.inherited = map[holderKey]bool{unknownHolder: true}
	if namesHolders {
		e.inherited = parseHolders(read.Record.Holders)
	}
	if len(e.inherited) == 0 {
		openAt = now
	}
	// A revision is written once per era, so that no other election of the era can have this number, not even one that replaces
	// a record that a late write of an earlier era has overwritten.
	token := core.QuotaToken{
		Era: max(read.Era, e.highest.Era), Number: max(read.Revision, read.Record.Token.Number, e.highest.Number) + 1,
	}
	e.mu.Unlock()
	if err := e.write(ctx, read, token); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if first {
		e.book = NewFirstBook(e.bounds, now)
	} else {
		e.book = NewBook(e.bounds, openAt)
		e.book.inherited = e.inherited
		if e.replaced != nil {
			e.book.replaced = func(key holderKey) bool { return e.replaced(key.host, key.incarnation, read.Revision, read.Era) }
		}
	}
	e.inherited = nil
	e.led = true
	event.QuotaCoordinating.Write(e.log, zap.Any("token", token), zap.Duration("wait", max(0, openAt.Sub(now))), zap.Bool("first", first))
	return nil
}

// write writes the record over the one that was read. The lease counts from before the write.
func (e *Elector) write(ctx context.Context, read core.QuotaRead, token core.QuotaToken) error {
	record := e.self
	record.Token, record.Writes = token, read.Record.Writes+1
	start := e.timer.Now()
	holders := e.nextHolders(start)
	record.Holders = formatHolders(holders)
	revision, era, err := e.store.Write(ctx, record, read.Revision)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if era != read.Era {
		// The store was restored in between. The revision may belong to another content, and others may have been elected.
		e.stepDownLocked()
		return errors.Annotatef(core.ErrUncertain, "the era changed from %d to %d", read.Era, era)
	}
	e.own = core.QuotaRead{Era: era, Record: record, Revision: revision}
	e.recorded = holders
	for key := range holders {
		delete(e.pending, key)
	}
	e.leaseEnd = start.Add(core.QuotaCoordinatorLease)
	e.noteToken(token)
	return nil
}

// stepDown ends the lease of this process and discards its book, whose shares end by their own leases.
func (e *Elector) stepDown() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stepDownLocked()
}

// stepDownLocked is stepDown for callers that hold the mutex.
func (e *Elector) stepDownLocked() {
	if e.book != nil {
		event.QuotaStepDown.Write(e.log, zap.Any("token", e.own.Record.Token))
	}
	e.book, e.own, e.leaseEnd, e.recorded = nil, core.QuotaRead{}, 0, nil
	clear(e.pending)
}

// isOwn reports whether a record was written by this process. The caller holds the mutex.
func (e *Elector) isOwn(record core.QuotaRecord) bool {
	return record.Host == e.self.Host && record.Incarnation == e.self.Incarnation
}

// noteToken records a token of another process or of this one. The caller holds the mutex.
func (e *Elector) noteToken(token core.QuotaToken) {
	if e.highest.Less(token) {
		e.highest = token
	}
}

// sameElection reports whether both records are of the same election.
func sameElection(a, b core.QuotaRecord) bool {
	return a.Host == b.Host && a.Incarnation == b.Incarnation && a.Token == b.Token
}
