package fanout

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/wire"
)

const (
	// DefaultSyncInterval is the time between two exchanges of versions with a source.
	DefaultSyncInterval = 5 * time.Second
	requestTimeout      = 2 * time.Second
	pullQueue           = 64
	// startupSpeedup divides the sync interval while a process holds no document yet.
	startupSpeedup = 10
)

// Check validates a document and puts it in force; an error keeps the old one.
type Check func(document core.Document) error

// Keeper holds the newest version of each document, pulls newer ones and announces changes.
type Keeper struct {
	audience func() []string
	checks   []namedCheck
	docs     map[string]core.Document
	links    core.Links
	log      *zap.Logger
	messages core.Messenger
	mu       sync.Mutex
	offer    sync.Mutex
	packed   map[string]packed
	pulls    chan pull
	steps    map[string][]step
	sources  func() []string
	sync     time.Duration
	syncedAt core.Instant
	syncedBy string
	timer    core.Timer
}

type namedCheck struct {
	check  Check
	prefix string
}

// New returns a Keeper and registers its handlers on links and messages.
func New(links core.Links, messages core.Messenger, timer core.Timer, log *zap.Logger, options ...Option) *Keeper {
	k := &Keeper{
		audience: func() []string { return nil },
		docs:     map[string]core.Document{},
		links:    links,
		log:      log,
		messages: messages,
		packed:   map[string]packed{},
		pulls:    make(chan pull, pullQueue),
		sources:  func() []string { return nil },
		steps:    map[string][]step{},
		sync:     DefaultSyncInterval,
		timer:    timer,
	}
	for _, o := range options {
		o(k)
	}
	messages.HandleMessage(core.TopicDocument, k.handleNotice)
	links.HandleRequest(core.TopicSync, k.handleSync)
	links.HandleRequest(core.TopicDocumentGet, k.handleGet)
	return k
}

// Document implements core.DocumentSource.Document.
func (k *Keeper) Document(name string) (core.Document, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	d, ok := k.docs[name]
	return d, ok
}

// Offer implements core.DocumentSink.Offer.
func (k *Keeper) Offer(d core.Document) (bool, error) {
	k.offer.Lock()
	defer k.offer.Unlock()
	if k.version(d.Name) >= d.Version {
		return false, nil
	}
	if err := k.check(d); err != nil {
		return false, errors.Annotatef(err, "document %s version %d", d.Name, d.Version)
	}
	old, _ := k.Document(d.Name)
	// Only Offer changes the steps, and one call at a time.
	steps := nextSteps(k.steps[d.Name], old, d)
	k.mu.Lock()
	k.docs[d.Name] = d
	k.steps[d.Name] = steps
	k.mu.Unlock()
	event.DocumentAccepted.Write(k.log, zap.String("document", d.Name), zap.Int64("version", d.Version))
	k.announce(d)
	return true, nil
}

// Run pulls announced documents and exchanges versions with a source until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { k.pullLoop(ctx) })
	group.Go(func() { k.syncLoop(ctx) })
	group.Wait()
}

// Sync exchanges versions with the given peer and pulls all newer documents.
func (k *Keeper) Sync(ctx context.Context, peer string) error {
	requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	payload, err := wire.Encode(core.DocumentSyncGet{Sum: sumOf(k.versions())})
	if err != nil {
		return errors.Trace(err)
	}
	reply, err := k.links.Request(requestCtx, peer, core.TopicSync, payload)
	if err != nil {
		return errors.Annotatef(err, "sync with %s", peer)
	}
	var s core.DocumentSync
	if err := wire.Decode(reply, &s); err != nil {
		return errors.Annotatef(err, "sync with %s", peer)
	}
	if err := k.pullAll(ctx, peer, s.Documents); err != nil {
		return errors.Trace(err)
	}
	k.mu.Lock()
	k.syncedAt = k.timer.Now()
	k.syncedBy = peer
	k.mu.Unlock()
	return nil
}

// Synced returns the peer of the last complete exchange and its time, or "" before the first.
func (k *Keeper) Synced() (string, core.Instant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.syncedBy, k.syncedAt
}

func (k *Keeper) announce(d core.Document) {
	payload, err := wire.Encode(core.DocumentNotice{Name: d.Name, Version: d.Version})
	if err != nil {
		event.DocumentInvalid.Write(k.log, zap.String("document", d.Name), zap.Error(err))
		return
	}
	for _, a := range k.audience() {
		// A lost notice is repaired by the periodic exchange of versions.
		_ = k.messages.Send(a, core.TopicDocument, payload)
	}
}

func (k *Keeper) check(d core.Document) error {
	for _, c := range k.checks {
		if len(d.Name) < len(c.prefix) || d.Name[:len(c.prefix)] != c.prefix {
			continue
		}
		if err := c.check(d); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (k *Keeper) empty() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.docs) == 0
}

func (k *Keeper) syncLoop(ctx context.Context) {
	for {
		for _, s := range k.sources() {
			err := k.Sync(ctx, s)
			if err == nil {
				break
			}
			// Links log their own failures.
			if !errors.Is(err, core.ErrLinkDown) && !errors.Is(err, core.ErrNoReply) {
				event.DocumentPullFailed.Write(k.log, zap.String("peer", s), zap.Error(err))
			}
		}
		// Jitter keeps the processes of a zone from asking their relay at the same moment.
		wait := k.sync/2 + rand.N(k.sync)
		if k.empty() {
			wait /= startupSpeedup
		}
		select {
		case <-ctx.Done():
			return
		case <-k.timer.After(wait):
		}
	}
}

func (k *Keeper) version(name string) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.docs[name].Version
}
