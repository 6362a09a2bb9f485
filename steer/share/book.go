package share

import (
	"maps"
	"time"

	"ebonyrouter.dev/core"
)

// holdTerm is how long the coordinator reserves a share after it has answered. The host counts core.QuotaLease from before it
// asked, so that its share always ends earlier.
const holdTerm = core.QuotaLease + core.ClockDriftMargin

// Book records which host holds which share and decides what each gets. It has no clock and is not safe for concurrent use.
type Book struct {
	accounts map[string]*account
	bounds   core.QuotaBounds
	// full means that no other coordinator can have granted anything before this book began.
	full    bool
	numbers map[holderKey]lastAsk
	// openAt is the instant at which all shares of earlier coordinators have ended. Before it, the book divides only what hosts
	// have reported as held.
	openAt core.Instant
	// inherited holds the processes that may hold shares of earlier coordinators, and replacedAt the first ask of another process
	// of the same host.
	inherited  map[holderKey]bool
	replacedAt map[holderKey]core.Instant
	// replaced reports whether a process is known to have ended in another way; it may be nil.
	replaced func(holderKey) bool
}

// replacedTerm is the time between two asks of a process that shows that it runs. A single ask may have waited in a buffer since before
// the process that it would replace was started.
const replacedTerm = 300 * time.Millisecond

// holderKey identifies a process. A host that restarts gets another incarnation and holds nothing.
type holderKey struct {
	host        string
	incarnation string
}

// lastAsk is the latest ask of a process and the instant after which it holds nothing.
type lastAsk struct {
	number int64
	until  core.Instant
}

// FindCustomer returns the settings of a customer, or false if it has none.
type FindCustomer func(name string) (*core.CustomerSettings, bool)

// unknownHolder stands for processes that nobody can name, so that nobody replaces them.
var unknownHolder = holderKey{}

// NewBook returns a book that waits for the end of the shares of unknown processes until openAt.
func NewBook(bounds core.QuotaBounds, openAt core.Instant) *Book {
	return &Book{
		accounts: map[string]*account{}, bounds: bounds, inherited: map[holderKey]bool{unknownHolder: true}, numbers: map[holderKey]lastAsk{},
		openAt: openAt, replacedAt: map[holderKey]core.Instant{},
	}
}

// NewFirstBook returns the book of the first coordinator of a deployment. Its bursts are unused.
func NewFirstBook(bounds core.QuotaBounds, now core.Instant) *Book {
	b := NewBook(bounds, now)
	b.full = true
	return b
}

// Answer records what a host holds and returns its new shares in the order of the ask. It returns false if a later ask of the
// host was answered before, whose reply replaces this one.
func (b *Book) Answer(ask core.QuotaAsk, find FindCustomer, now core.Instant) ([]core.QuotaShare, bool) {
	key := holderKey{ask.Host, ask.Incarnation}
	if ask.Number <= b.numbers[key].number {
		return nil, false
	}
	b.numbers[key] = lastAsk{ask.Number, now.Add(holdTerm)}
	b.noteReplaced(key, now)
	shares := make([]core.QuotaShare, 0, len(ask.Customers))
	for _, demand := range ask.Customers {
		customer, found := find(demand.Customer)
		if !found || customer.RequestsPerSecond <= 0 {
			continue
		}
		a := b.account(customer, now)
		shares = append(shares, a.answer(key, demand, now, now.Before(b.openAt)))
	}
	return shares, true
}

// noteReplaced removes the processes from the inherited ones that the asking process has replaced. Without any, the book need not wait.
func (b *Book) noteReplaced(asking holderKey, now core.Instant) {
	if !now.Before(b.openAt) {
		return
	}
	for key := range b.inherited {
		if b.replaced != nil && b.replaced(key) {
			delete(b.inherited, key)
			continue
		}
		if key.host != asking.host || key.incarnation == asking.incarnation {
			continue
		}
		first, found := b.replacedAt[asking]
		if !found {
			b.replacedAt[asking] = now
			continue
		}
		if now.Sub(first) >= replacedTerm {
			delete(b.inherited, key)
		}
	}
	if len(b.inherited) == 0 {
		b.openAt = now
	}
}

// holders returns the processes that may hold shares at now, of this book or of earlier coordinators.
func (b *Book) holders(now core.Instant) map[holderKey]bool {
	all := map[holderKey]bool{}
	for key, last := range b.numbers {
		if now.Before(last.until) {
			all[key] = true
		}
	}
	if now.Before(b.openAt) {
		maps.Copy(all, b.inherited)
	}
	return all
}

// Prune removes what no host holds any more, so that memory follows the active customers.
func (b *Book) Prune(now core.Instant) {
	for key, last := range b.numbers {
		if now.After(last.until) {
			delete(b.numbers, key)
		}
	}
	for name, a := range b.accounts {
		b.advance(a, now)
		if len(a.holdings) == 0 && a.pool >= a.burst && !now.Before(b.openAt) {
			delete(b.accounts, name)
		}
	}
}

// Customers returns the number of customers of which the book keeps something.
func (b *Book) Customers() int {
	return len(b.accounts)
}

// account returns the account of a customer with the quota of its present settings.
func (b *Book) account(customer *core.CustomerSettings, now core.Instant) *account {
	a := b.accounts[customer.Name]
	if a == nil {
		a = &account{customer: customer.Name, advanced: now, holdings: map[holderKey]*holding{}}
		b.accounts[customer.Name] = a
		switch {
		case b.full:
			a.pool = b.bounds.Burst(customer)
		case now.After(b.openAt):
			// Nobody has asked for the customer since openAt, so that its pool has filled since then.
			a.pool = min(b.bounds.Burst(customer), customer.RequestsPerSecond*now.Sub(b.openAt).Seconds())
		}
	} else {
		b.advance(a, now)
	}
	a.rate, a.burst = customer.RequestsPerSecond, b.bounds.Burst(customer)
	return a
}

// advance brings an account to the present. Until openAt its pool fills only with rates that are known to be free.
func (b *Book) advance(a *account, now core.Instant) {
	if a.advanced.Before(b.openAt) && !now.Before(b.openAt) {
		a.advance(b.openAt, true)
	}
	a.advance(now, now.Before(b.openAt))
}

// seconds returns the length of a span, or 0 if it is negative.
func seconds(d time.Duration) float64 {
	return max(0, d.Seconds())
}
