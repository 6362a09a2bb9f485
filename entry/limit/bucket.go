package limit

import (
	"time"

	"ebonyrouter.dev/core"
)

const (
	// bucketWindow is the period to which a cap applies.
	bucketWindow = time.Second
	// burstDivisor is the divisor of the rate that gives the largest burst, a tenth of the requests permitted in a second.
	burstDivisor = 10
)

// bucket limits the rate of admissions with a token bucket and a log of the admissions of the last second.
//
// At each admission, the number of admissions in the second that ends with it is at most the current rate. Any half-open
// window of one second therefore contains at most as many admissions as the rate at its last admission permits. The token
// bucket alone would permit the rate plus one burst.
type bucket struct {
	// head is the index of the next entry in log, which is a ring buffer with count valid entries.
	head  int
	log   []core.Instant
	count int
	// nextArrival is the theoretical arrival time of the next request at an even pace.
	nextArrival core.Instant
}

// admit records one admission; delay must have returned 0 for the same instant and rate.
func (b *bucket) admit(now core.Instant, rate int64) {
	b.record(now)
	b.nextArrival = max(b.nextArrival, now).Add(bucketWindow / time.Duration(rate))
}

// delay returns the time until one more request may be admitted at rate requests per second, or 0.
func (b *bucket) delay(now core.Instant, rate int64) time.Duration {
	if rate < 1 {
		return bucketWindow
	}
	pace := bucketWindow / time.Duration(rate)
	burst := time.Duration(max(1, rate/burstDivisor)-1) * pace
	if delay := b.nextArrival.Sub(now) - burst; delay > 0 {
		return delay
	}
	if oldest, ok := b.nthNewest(int(rate)); ok && now.Sub(oldest) < bucketWindow {
		return bucketWindow - now.Sub(oldest)
	}
	return 0
}

// grow extends the log to n admissions and keeps the recorded ones.
func (b *bucket) grow(n int) {
	if n <= len(b.log) {
		return
	}
	larger := make([]core.Instant, n)
	for i := b.count; i >= 1; i-- {
		larger[b.count-i], _ = b.nthNewest(i)
	}
	b.log = larger
	b.head = b.count % n
}

// nthNewest returns the n-th newest admission, counted from 1, or false if fewer are recorded.
func (b *bucket) nthNewest(n int) (core.Instant, bool) {
	if n > b.count {
		return 0, false
	}
	return b.log[(b.head-n+len(b.log))%len(b.log)], true
}

// record appends an admission to the log.
func (b *bucket) record(now core.Instant) {
	b.log[b.head] = now
	b.head = (b.head + 1) % len(b.log)
	b.count = min(b.count+1, len(b.log))
}
