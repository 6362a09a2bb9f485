package limit

import (
	"sync/atomic"
	"time"
)

// schedulingDelayDivisor is the inverse of the weight of a new sample in the moving average.
const schedulingDelayDivisor = 16

// schedulingDelay is the moving average of the time between the grant of a slot and the moment at which the waiting
// request continues. If the process lacks processor time, arriving requests and finished responses are delayed by about
// as much.
type schedulingDelay struct {
	mean atomic.Int64
}

// record adds a sample; one of two concurrent samples may be lost.
func (d *schedulingDelay) record(sample time.Duration) {
	mean := d.mean.Load()
	d.mean.Store(mean + (int64(sample)-mean)/schedulingDelayDivisor)
}

// value returns the moving average.
func (d *schedulingDelay) value() time.Duration {
	return time.Duration(d.mean.Load())
}
