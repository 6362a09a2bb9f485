package fanout

import (
	"cmp"
	"context"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/wire"
)

// pullRequest is a queued pull of an announced document.
type pullRequest struct {
	notice core.DocumentNotice
	peer   string
}

// fetch returns the newest version that the peer has. It transfers only the changes since the current version if the peer
// still has them and they fit, or else the whole document.
func (k *Keeper) fetch(ctx context.Context, peer, name string) (core.Document, error) {
	current, _ := k.Document(name)
	first, err := k.fetchChunk(ctx, peer, core.DocumentGet{Held: current.Version, Name: name})
	if err != nil {
		return core.Document{}, errors.Trace(err)
	}
	if first.Change != nil {
		if d, err := applyChange(current, *first.Change); err == nil {
			return d, nil
		}
		if first, err = k.fetchChunk(ctx, peer, core.DocumentGet{Name: name}); err != nil {
			return core.Document{}, errors.Trace(err)
		}
	}
	return k.fetchRemaining(ctx, peer, first)
}

// fetchRemaining returns the whole document, given its first chunk.
func (k *Keeper) fetchRemaining(ctx context.Context, peer string, first core.DocumentChunk) (core.Document, error) {
	d := core.Document{Name: first.Name, Version: first.Version}
	data := first.Data
	for len(data) < first.Total {
		c, err := k.fetchChunk(ctx, peer, core.DocumentGet{Name: d.Name, Offset: len(data), Version: d.Version})
		if err != nil {
			return core.Document{}, errors.Trace(err)
		}
		if c.Version != d.Version || c.Offset != len(data) || c.Change != nil {
			return core.Document{}, errors.Errorf("document %s changed during its transfer", d.Name)
		}
		data = append(data, c.Data...)
	}
	var err error
	if d.Content, err = decompress(data); err != nil {
		return core.Document{}, errors.Annotatef(err, "document %s from %s", d.Name, peer)
	}
	k.mu.Lock()
	k.compressed[d.Name] = compressedContent{data: data, version: d.Version}
	k.mu.Unlock()
	return d, nil
}

func (k *Keeper) fetchChunk(ctx context.Context, peer string, get core.DocumentGet) (core.DocumentChunk, error) {
	var c core.DocumentChunk
	payload, err := wire.Encode(get)
	if err != nil {
		return c, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	reply, err := k.links.Request(ctx, peer, core.TopicDocumentGet, payload)
	if err != nil {
		return c, errors.Annotatef(err, "get document %s from %s", get.Name, peer)
	}
	return c, errors.Trace(wire.Decode(reply, &c))
}

func (k *Keeper) pull(ctx context.Context, peer string, n core.DocumentNotice) error {
	if k.version(n.Name) >= n.Version {
		return nil
	}
	d, err := k.fetch(ctx, peer, n.Name)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = k.Offer(d)
	return errors.Trace(err)
}

// pullAll pulls documents regardless of the order of their dependencies: failed pulls are retried while others succeed,
// because a document can depend on one that is pulled later. A document that keeps failing does not block the others. The
// first error of the last round is returned.
func (k *Keeper) pullAll(ctx context.Context, peer string, notices []core.DocumentNotice) error {
	for {
		var failed []core.DocumentNotice
		var firstErr error
		for _, n := range notices {
			if err := k.pull(ctx, peer, n); err != nil {
				failed = append(failed, n)
				firstErr = cmp.Or(firstErr, err)
			}
		}
		if len(failed) == 0 || len(failed) == len(notices) || ctx.Err() != nil {
			return errors.Trace(firstErr)
		}
		notices = failed
	}
}

func (k *Keeper) pullLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-k.pulls:
			if err := k.pull(ctx, p.peer, p.notice); err != nil {
				event.DocumentPullFailed.Write(k.log, zap.String("peer", p.peer), zap.Error(err))
			}
		}
	}
}

func (k *Keeper) enqueuePull(peer string, n core.DocumentNotice) {
	if k.version(n.Name) >= n.Version {
		return
	}
	select {
	case k.pulls <- pullRequest{notice: n, peer: peer}:
	default: // The periodic exchange of versions makes up for a notice that is dropped here.
	}
}
