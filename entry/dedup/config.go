package dedup

import (
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
)

// Config holds the dependencies of a Deduper; all fields except FinishLinger are required.
type Config struct {
	// FinishLinger is how long an outcome may wait for another op of its shard, so that one write stores both.
	// It delays Finish, so it suits callers that send the response before they call Finish.
	FinishLinger time.Duration
	Log          *zap.Logger
	Store        core.Store
	Timer        core.Timer
	// UnixMs returns the wall-clock time in Unix milliseconds; expiry times in records are compared with it on all hosts.
	UnixMs func() int64
}
