package fanout_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/fanout"
	"ebonyrouter.dev/core/links"
	"ebonyrouter.dev/core/pubsub"
	"ebonyrouter.dev/core/timer"
)

// propagationLimit is the documented time within which a change takes effect on all hosts at the present size.
const propagationLimit = 2 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// node is one process with a Keeper.
type node struct {
	subscribers []string
	keeper      *fanout.Keeper
	// needsSettings makes the node reject ownership documents until it has the settings.
	needsSettings   bool
	links           *links.Manager
	rejectedContent string
	sources         []string
}

// newNode starts a node; it rejects settings whose content is n.rejectedContent.
func newNode(t *testing.T, n *node) *node {
	t.Helper()
	clock, err := timer.NewSystem()
	assert.NilError(t, err)
	n.links, err = links.New(clock, zap.NewNop(), links.WithListen("127.0.0.1:0"))
	assert.NilError(t, err)
	messages, err := pubsub.NewMessenger(n.links)
	assert.NilError(t, err)
	n.keeper = fanout.New(n.links, messages, clock, zap.NewNop(),
		fanout.WithSubscribers(func() []string { return n.subscribers }),
		fanout.WithApply("settings", func(d core.Document) error {
			if n.rejectedContent != "" && string(d.Content) == n.rejectedContent {
				return errors.NotValidf("content")
			}
			return nil
		}),
		fanout.WithApply(core.KeyOwnershipPrefix, func(core.Document) error {
			if _, ok := n.keeper.Document(core.DocumentSettings); n.needsSettings && !ok {
				return errors.NotYetAvailablef("settings")
			}
			return nil
		}),
		fanout.WithSources(func() []string { return n.sources }),
		fanout.WithSyncInterval(200*time.Millisecond),
	)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() {
		_ = messages.Run(ctx)
		done <- struct{}{}
	}()
	go func() {
		n.keeper.Run(ctx)
		done <- struct{}{}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		<-done
		assert.NilError(t, n.links.Close())
	})
	return n
}

func (n *node) offer(t *testing.T, version int64, content string) bool {
	t.Helper()
	accepted, err := n.keeper.Offer(core.Document{Content: []byte(content), Name: core.DocumentSettings, Version: version})
	assert.NilError(t, err)
	return accepted
}

// waitVersion waits until the node has the settings in at least the given version.
func (n *node) waitVersion(t *testing.T, version int64) core.Document {
	t.Helper()
	for started := time.Now(); time.Since(started) < propagationLimit; time.Sleep(time.Millisecond) {
		if d, _ := n.keeper.Document(core.DocumentSettings); d.Version >= version {
			return d
		}
	}
	t.Fatalf("version %d has not arrived after %v", version, propagationLimit)
	return core.Document{}
}

// Guards against a change that does not reach a host that it is announced to, also if its transfer takes several replies,
// and against a revert to an older version.
func TestNoticeAndPull(t *testing.T) {
	host := newNode(t, &node{})
	relay := newNode(t, &node{subscribers: []string{host.links.Address()}})
	relay.links.Connect(host.links.Address())
	host.links.Connect(relay.links.Address())
	large := bytes.Repeat([]byte("x"), core.DocumentChunkBytes+1)
	for !relay.links.Alive(host.links.Address()) || !host.links.Alive(relay.links.Address()) {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, relay.offer(t, 2, string(large)))
	assert.Assert(t, bytes.Equal(host.waitVersion(t, 2).Content, large))
	assert.Assert(t, !host.offer(t, 1, "old"), "a lower version was accepted")
	assert.Assert(t, !host.offer(t, 2, "other"), "the same version was accepted twice")
	assert.Equal(t, len(host.waitVersion(t, 2).Content), len(large))
}

// Guards against a host that stays on an old version after a lost notice, and against one that accepts an invalid document.
func TestSyncRepairs(t *testing.T) {
	relay := newNode(t, &node{})
	host := newNode(t, &node{rejectedContent: "bad", sources: []string{relay.links.Address()}})
	host.links.Connect(relay.links.Address())
	relay.offer(t, 1, "good")
	host.waitVersion(t, 1)
	relay.offer(t, 2, "bad")
	time.Sleep(time.Second)
	assert.Equal(t, string(host.waitVersion(t, 1).Content), "good")
	relay.offer(t, 3, "better")
	assert.Equal(t, string(host.waitVersion(t, 3).Content), "better")
}

// Guards against a process that never receives its settings. It had missed their notice, and the exchange of versions
// stopped at the ownership document, whose name sorts first and which cannot be validated without settings.
func TestSyncOfDependentDocuments(t *testing.T) {
	steer := newNode(t, &node{})
	steer.offer(t, 1, "settings")
	ownership := core.Document{Content: []byte("members"), Name: core.KeyOwnershipPrefix + "north", Version: 7}
	_, err := steer.keeper.Offer(ownership)
	assert.NilError(t, err)
	entry := newNode(t, &node{needsSettings: true})
	entry.links.Connect(steer.links.Address())
	for !entry.links.Alive(steer.links.Address()) {
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, entry.keeper.Sync(t.Context(), steer.links.Address()))
	assert.Equal(t, string(entry.waitVersion(t, 1).Content), "settings")
	received, _ := entry.keeper.Document(ownership.Name)
	assert.Equal(t, received.Version, ownership.Version)
}
