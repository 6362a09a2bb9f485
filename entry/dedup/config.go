package dedup

import (
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
)

// Config holds what a Deduper needs; all fields but FinishLinger are required.
type Config struct {
	// FinishLinger is how long an outcome may wait for a later op of its shard, so that one write carries both.
	// It delays Finish, so it suits callers that answer first and call Finish afterwards.
	FinishLinger time.Duration
	Log          *zap.Logger
	Store        core.Store
	Timer        core.Timer
	// UnixMs returns the wall-clock time in milliseconds, which records use for their expiry on all hosts.
	UnixMs func() int64
}
