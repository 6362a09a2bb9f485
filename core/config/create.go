package config

import (
	"bytes"
	"context"
	"time"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// Attempts to determine the outcome of a write whose response was lost; together they outlast a short outage.
const (
	settleAttempts = 8
	settlePause    = 250 * time.Millisecond
)

// Create ensures that key has value at a store version above after. No other value may ever be written to key, so that
// after a lost response a read shows the outcome. An object with this value at a version up to after is
// written again.
func Create(ctx context.Context, store core.Store, key string, value []byte, after int64) error {
	var err error
	version := int64(0)
	for range settleAttempts {
		_, err = store.Put(ctx, key, value, version)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, core.ErrUncertain):
			pause(ctx)
		case !errors.Is(err, core.ErrConflict):
			return errors.Annotatef(err, "write %s", key)
		}
		object, getErr := store.Get(ctx, key)
		switch {
		case errors.Is(getErr, core.ErrNotFound):
			version = 0
		case getErr != nil:
			err = getErr
			pause(ctx)
		case !bytes.Equal(object.Value, value):
			return errors.Annotatef(core.ErrConflict, "%s exists with other content", key)
		case object.Version > after:
			return nil
		default:
			version = object.Version
		}
	}
	return errors.Annotatef(err, "write %s", key)
}

// pause waits between two attempts, at most until ctx ends.
func pause(ctx context.Context) {
	wait, cancel := context.WithTimeout(ctx, settlePause)
	defer cancel()
	<-wait.Done()
}
