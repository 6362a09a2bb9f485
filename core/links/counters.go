package links

import "sync/atomic"

// counters holds the counters that Stats returns.
type counters struct {
	badFrames    atomic.Int64
	badTokens    atomic.Int64
	dropped      atomic.Int64
	lateReplies  atomic.Int64
	opened       atomic.Int64
	received     atomic.Int64
	rejected     atomic.Int64
	unresponsive atomic.Int64
}
