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
	// pacerBurst is the largest number of bytes sent without a pause. The bytes in any period exceed the rate by at most
	// this number, which takes 0.5 ms on a link of 1 Gbit/s.
	pacerBurst = 64 << 10
)

// pacer delays bytes so that one shift does not exceed its part of the bandwidth of a link in one direction.
type pacer struct {
	limiter *rate.Limiter
	timer   core.Timer
}

func newPacer(timer core.Timer) *pacer {
	return &pacer{limiter: rate.NewLimiter(0, pacerBurst), timer: timer}
}

// setRate changes the rate in Mbit/s; bytes that are already waiting keep the old rate.
func (p *pacer) setRate(mbitPerSecond float64) {
	p.limiter.SetLimitAt(wallTime(p.timer.Now()), rate.Limit(mbitPerSecond*bytesPerMbit))
}

// wait blocks until n more bytes may be sent. It returns an error if ctx ends or the rate is 0.
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

// waitPart blocks until n more bytes, at most pacerBurst, may be sent.
func (p *pacer) waitPart(ctx context.Context, n int) error {
	now := wallTime(p.timer.Now())
	reservation := p.limiter.ReserveN(now, n)
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return nil
	}
	if delay == rate.InfDuration {
		reservation.CancelAt(now)
		return errors.Errorf("bandwidth of the shift is 0 Mbit/s")
	}
	select {
	case <-p.timer.After(delay):
		return nil
	case <-ctx.Done():
		reservation.CancelAt(wallTime(p.timer.Now()))
		return errors.Trace(ctx.Err())
	}
}

// wallTime converts an instant for rate.Limiter, which only compares and subtracts times.
func wallTime(i core.Instant) time.Time {
	return time.Unix(0, int64(i))
}
