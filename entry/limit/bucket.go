package limit

import (
	"time"

	"ebonyrouter.dev/core"
)

const (
	// bucketWindow is the time over which a cap counts requests.
	bucketWindow = time.Second
	// burstPart is the part of a second's worth of requests that may pass at once, as a divisor.
	burstPart = 10
)

// bucket is a token bucket with a log of the admissions of the last second.
//
// At each admission, the admissions of the last second including it are at most the rate in force at that
// instant. So a half-open window of one second never holds more requests than the rate in force at its last
// admission. The token bucket alone would permit the rate plus one burst.
type bucket struct {
	head int
	log  []core.Instant
	used int
	// next is the theoretical arrival time of the next request at an even pace.
	next core.Instant
}

// take admits one request for which wait is 0 at the same instant and rate.
func (b *bucket) take(now core.Instant, rate int64) {
	b.record(now)
	b.next = max(b.next, now).Add(bucketWindow / time.Duration(rate))
}

// wait returns the time after which one request may be admitted at rate requests per second.
func (b *bucket) wait(now core.Instant, rate int64) time.Duration {
	if rate < 1 {
		return bucketWindow
	}
	pace := bucketWindow / time.Duration(rate)
	burst := time.Duration(max(1, rate/burstPart)-1) * pace
	if wait := b.next.Sub(now) - burst; wait > 0 {
		return wait
	}
	if oldest, ok := b.nth(int(rate)); ok && now.Sub(oldest) < bucketWindow {
		return bucketWindow - now.Sub(oldest)
	}
	return 0
}

// grow makes room for n admissions.
func (b *bucket) grow(n int) {
	if n <= len(b.log) {
		return
	}
	bigger := make([]core.Instant, n)
	for i := b.used; i >= 1; i-- {
		bigger[b.used-i], _ = b.nth(i)
	}
	b.log = bigger
	b.head = b.used % n
}

// nth returns the n-th newest admission, counted from 1.
func (b *bucket) nth(n int) (core.Instant, bool) {
	if n > b.used {
		return 0, false
	}
	return b.log[(b.head-n+len(b.log))%len(b.log)], true
}

// record appends an admission to the log.
func (b *bucket) record(now core.Instant) {
	b.log[b.head] = now
	b.head = (b.head + 1) % len(b.log)
	b.used = min(b.used+1, len(b.log))
}
