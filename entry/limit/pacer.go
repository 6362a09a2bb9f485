package limit

import (
	"context"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"ebonyrouter.dev/core"
)

const (
	bytesPerMbit = 1_000_000 / 8
	// pacerBurst is the largest number of bytes sent without a pause. The bytes in any period exceed the rate by at
	// most this number, which is 0.5 ms of a link of 1 Gbit/s.
	pacerBurst = 64 << 10
)

// pacer delays bytes so that their rate stays below the part of a link that one shift may use in one direction.
type pacer struct {
	limiter *rate.Limiter
	timer   core.Timer
}

func newPacer(timer core.Timer) *pacer {
	return &pacer{limiter: rate.NewLimiter(0, pacerBurst), timer: timer}
}

// setRate changes the rate in Mbit/s for all bytes that have not been waited for.
func (p *pacer) setRate(mbitPerSecond float64) {
	p.limiter.SetLimitAt(wallTime(p.timer.Now()), rate.Limit(mbitPerSecond*bytesPerMbit))
}

// wait returns when n more bytes may be sent, or the context's error.
func (p *pacer) wait(ctx context.Context, n int) error {
	for n > 0 {
		part := min(n, pacerBurst)
		if err := p.waitPart(ctx, part); err != nil {
			return err
		}
		n -= part
	}
	return nil
}

func (p *pacer) waitPart(ctx context.Context, n int) error {
	now := wallTime(p.timer.Now())
	reservation := p.limiter.ReserveN(now, n)
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return nil
	}
	if delay == rate.InfDuration {
		reservation.CancelAt(now)
		return errors.Errorf("the shift has no bandwidth")
	}
	select {
	case <-p.timer.After(delay):
		return nil
	case <-ctx.Done():
		reservation.CancelAt(wallTime(p.timer.Now()))
		return errors.Trace(ctx.Err())
	}
}

// wallTime converts an instant for the limiter, which only compares and subtracts times.
func wallTime(i core.Instant) time.Time {
	return time.Unix(0, int64(i))
}
