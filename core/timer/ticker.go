package timer

import "time"

// ticker is the goroutine of a scheduler.
type ticker struct {
	done chan struct{}
	// recompute interrupts the current wait when a new subscription may be due before it ends.
	recompute chan struct{}
	quit      chan struct{}
}

func newTicker() *ticker {
	return &ticker{done: make(chan struct{}), recompute: make(chan struct{}, 1), quit: make(chan struct{})}
}

// run fires the ticks of s until quit is closed.
func (r *ticker) run(s *scheduler) {
	defer close(r.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-r.quit:
			return
		case <-r.recompute:
		case <-timer.C:
		}
		timer.Reset(time.Until(s.fire(time.Now())))
	}
}

// wake makes the goroutine recompute its wait.
func (r *ticker) wake() {
	select {
	case r.recompute <- struct{}{}:
	default:
	}
}
