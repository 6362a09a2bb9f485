package limit

import (
	"sync/atomic"
	"time"
)

// lagWeight is the divisor of a new sample in the mean.
const lagWeight = 16

// lag is the mean time between the grant of a slot and the moment at which its request goes on. A process that has too
// little processor time leaves arriving requests and finished responses waiting for about as long.
type lag struct {
	mean atomic.Int64
}

// record adds a sample; a sample that another one overtakes may be lost.
func (l *lag) record(sample time.Duration) {
	mean := l.mean.Load()
	l.mean.Store(mean + (int64(sample)-mean)/lagWeight)
}

// value returns the mean.
func (l *lag) value() time.Duration {
	return time.Duration(l.mean.Load())
}
