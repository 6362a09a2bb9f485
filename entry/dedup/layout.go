package dedup

import (
	"context"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
)

const (
	layoutName = "layout"
	// maxLayoutRounds bounds how often reading and writing the layout is retried after conflicts and lost responses.
	maxLayoutRounds = 4
)

// errLayout is returned for ops on a service that has records in a different layout, which another version of this
// package wrote.
const errLayout = errors.ConstError("idempotency records need a migration")

var _ core.Validator = (*layout)(nil)

// layout is the object of a service that states how many shards its records are spread over. It never changes.
type layout struct {
	Shards int `msgpack:"shards"`
}

// Validate implements core.Validator.Validate.
func (l *layout) Validate() error {
	if l.Shards != shardCount {
		return errors.WithType(errors.Errorf("records are kept in %d shards, this process uses %d", l.Shards, shardCount), errLayout)
	}
	return nil
}

// ensureLayout returns an error unless the records of the service are in the layout of this package. If the service has
// no objects yet, it creates the layout object with a conditional write, so that only one of two versions that start at
// the same time succeeds.
func (s *shard) ensureLayout() error {
	prefix := core.KeyDedupPrefix + s.service + "/"
	var err error
	for range maxLayoutRounds {
		var found bool
		if found, err = s.readLayout(prefix); found {
			break
		}
		if err == nil {
			_, _, err = s.put(prefix+layoutName, &layout{Shards: shardCount}, 0)
		}
		if err == nil || !errors.Is(err, core.ErrConflict) && !errors.Is(err, core.ErrUncertain) {
			break
		}
	}
	if errors.Is(err, errLayout) {
		event.DedupLayout.Write(s.deduper.config.Log, zap.String("service", s.service), zap.Error(err))
	}
	return errors.Annotatef(err, "service %q", s.service)
}

// readLayout reports whether the service has a layout object, and returns an error if it differs from the layout of this
// package. Records without a layout object are an error as well, because version 1 of the format (64 shards) had none.
func (s *shard) readLayout(prefix string) (bool, error) {
	o, err := s.get(prefix + layoutName)
	if errors.Is(err, core.ErrNotFound) {
		return s.findLayout(prefix)
	}
	if err != nil {
		return false, errors.Annotate(err, "cannot read layout")
	}
	return true, decodeLayout(o.Value)
}

// findLayout looks for the layout among all objects of a service, because another process may have created it since
// readLayout found none. Other objects without a layout are an error.
func (s *shard) findLayout(prefix string) (bool, error) {
	ctx, cancel := context.WithTimeout(s.deduper.ctx, storeTimeout)
	defer cancel()
	objects, err := s.deduper.config.Store.List(ctx, prefix)
	if err != nil {
		return false, errors.Annotate(err, "cannot list records")
	}
	for _, o := range objects {
		if o.Key == prefix+layoutName {
			return true, decodeLayout(o.Value)
		}
	}
	if len(objects) > 0 {
		return true, errors.WithType(errors.Errorf("%d objects without a layout, such as %s", len(objects), objects[0].Key), errLayout)
	}
	return false, nil
}

// decodeLayout decodes and validates a layout.
func decodeLayout(data []byte) error {
	l := &layout{}
	if err := msgpack.Unmarshal(data, l); err != nil {
		return errors.Annotate(err, "cannot decode layout")
	}
	return l.Validate()
}
