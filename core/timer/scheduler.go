package timer

import (
	"sync"
	"time"

	"ebonyrouter.dev/core"
)

// scheduler serves all subscriptions of a System from one goroutine, which runs while there are subscriptions. Ticks are
// aligned to multiples of their period since start, so that one wake-up serves several subscriptions whose periods divide each
// other. With a goroutine and a phase per subscription, an idle entry process woke about 130 times a second for ticks alone.
type scheduler struct {
	mu            sync.Mutex
	running       *ticker
	start         time.Time
	subscriptions map[*systemSubscription]struct{}
}

func newScheduler() *scheduler {
	return &scheduler{start: time.Now(), subscriptions: map[*systemSubscription]struct{}{}}
}

// add starts the ticks of u.
func (s *scheduler) add(u *systemSubscription) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.due = s.after(time.Now(), u.period)
	s.subscriptions[u] = struct{}{}
	if s.running == nil {
		s.running = newTicker()
		go s.running.run(s)
	}
	s.running.wake()
}

// after returns the first multiple of period since start that lies after now.
func (s *scheduler) after(now time.Time, period time.Duration) time.Time {
	return now.Add(period - now.Sub(s.start)%period)
}

// fire sends a tick to each subscription that is due and returns the time of the next tick, at most one hour after now.
func (s *scheduler) fire(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := now.Add(time.Hour)
	var instant core.Instant
	for u := range s.subscriptions {
		if !u.due.After(now) {
			if instant == 0 {
				instant = bootTime()
			}
			u.tick(instant)
			u.due = s.after(now, u.period)
		}
		if u.due.Before(next) {
			next = u.due
		}
	}
	return next
}

// remove ends the ticks of u. With the last subscription it also stops the goroutine and waits for it.
func (s *scheduler) remove(u *systemSubscription) {
	s.mu.Lock()
	delete(s.subscriptions, u)
	var idle *ticker
	if len(s.subscriptions) == 0 {
		idle, s.running = s.running, nil
	}
	s.mu.Unlock()
	if idle != nil {
		close(idle.quit)
		<-idle.done
	}
}
