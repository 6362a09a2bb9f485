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
	// DefaultSyncInterval is the mean time between two exchanges of versions with a source.
	DefaultSyncInterval = 5 * time.Second
	requestTimeout      = 2 * time.Second
	pullQueueSize       = 64
	// startupSyncFactor divides the sync interval while the process has no document yet.
	startupSyncFactor = 10
)

// ApplyFunc validates and applies a document; if it returns an error, the previous document stays in force.
type ApplyFunc func(document core.Document) error

// Keeper stores the newest version of each document, pulls newer versions from its sources and announces changes.
type Keeper struct {
	subscribers func() []string
	appliers    []applier
	docs        map[string]core.Document
	links       core.Links
	log         *zap.Logger
	messages    core.Messenger
	mu          sync.Mutex
	// offerMu serializes Offer.
	offerMu    sync.Mutex
	compressed map[string]compressedContent
	pulls      chan pullRequest
	// deltas holds the newest deltas of each document, oldest first.
	deltas       map[string][]delta
	sources      func() []string
	syncInterval time.Duration
	lastSync     core.Instant
	lastSyncPeer string
	timer        core.Timer
}

// applier is the ApplyFunc of the documents whose name starts with prefix.
type applier struct {
	apply  ApplyFunc
	prefix string
}

// New returns a Keeper and registers its handlers on links and messages.
func New(links core.Links, messages core.Messenger, timer core.Timer, log *zap.Logger, options ...Option) *Keeper {
	k := &Keeper{
		subscribers:  func() []string { return nil },
		docs:         map[string]core.Document{},
		links:        links,
		log:          log,
		messages:     messages,
		compressed:   map[string]compressedContent{},
		pulls:        make(chan pullRequest, pullQueueSize),
		sources:      func() []string { return nil },
		deltas:       map[string][]delta{},
		syncInterval: DefaultSyncInterval,
		timer:        timer,
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
	k.offerMu.Lock()
	defer k.offerMu.Unlock()
	if k.version(d.Name) >= d.Version {
		return false, nil
	}
	if err := k.apply(d); err != nil {
		return false, errors.Annotatef(err, "document %s version %d", d.Name, d.Version)
	}
	old, _ := k.Document(d.Name)
	// Reading without mu is safe: only Offer changes the deltas, and offerMu serializes its calls.
	deltas := appendDelta(k.deltas[d.Name], old, d)
	k.mu.Lock()
	k.docs[d.Name] = d
	k.deltas[d.Name] = deltas
	k.mu.Unlock()
	event.DocumentAccepted.Write(k.log, zap.String("document", d.Name), zap.Int64("version", d.Version))
	k.announce(d)
	return true, nil
}

// Run pulls announced documents and periodically exchanges versions with a source, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { k.pullLoop(ctx) })
	group.Go(func() { k.syncLoop(ctx) })
	group.Wait()
}

// Sync exchanges versions with peer and pulls all documents that are newer there.
func (k *Keeper) Sync(ctx context.Context, peer string) error {
	requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	payload, err := wire.Encode(core.DocumentSyncGet{Sum: checksumOf(k.versions())})
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
	k.lastSync = k.timer.Now()
	k.lastSyncPeer = peer
	k.mu.Unlock()
	return nil
}

// LastSync returns the peer and the time of the last complete exchange of versions, or "" before the first one.
func (k *Keeper) LastSync() (string, core.Instant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lastSyncPeer, k.lastSync
}

func (k *Keeper) announce(d core.Document) {
	payload, err := wire.Encode(core.DocumentNotice{Name: d.Name, Version: d.Version})
	if err != nil {
		event.DocumentInvalid.Write(k.log, zap.String("document", d.Name), zap.Error(err))
		return
	}
	for _, a := range k.subscribers() {
		// The periodic exchange of versions makes up for a lost notice.
		_ = k.messages.Send(a, core.TopicDocument, payload)
	}
}

func (k *Keeper) apply(d core.Document) error {
	for _, a := range k.appliers {
		if len(d.Name) < len(a.prefix) || d.Name[:len(a.prefix)] != a.prefix {
			continue
		}
		if err := a.apply(d); err != nil {
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
			// These errors are logged by the links.
			if !errors.Is(err, core.ErrLinkDown) && !errors.Is(err, core.ErrNoReply) {
				event.DocumentPullFailed.Write(k.log, zap.String("peer", s), zap.Error(err))
			}
		}
		// Jitter prevents the processes of a zone from sending their requests to the relay at the same time.
		wait := k.syncInterval/2 + rand.N(k.syncInterval)
		if k.empty() {
			wait /= startupSyncFactor
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
