package timer

import "time"

// ticker is the goroutine that serves the subscriptions of a System.
type ticker struct {
	done chan struct{}
	// earlier wakes the goroutine when a new subscription may be due before the current wait ends.
	earlier chan struct{}
	quit    chan struct{}
}

func newTicker() *ticker {
	return &ticker{done: make(chan struct{}), earlier: make(chan struct{}, 1), quit: make(chan struct{})}
}

// run ticks the subscriptions of t until quit is closed.
func (r *ticker) run(t *ticks) {
	defer close(r.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-r.quit:
			return
		case <-r.earlier:
		case <-timer.C:
		}
		timer.Reset(time.Until(t.fire(time.Now())))
	}
}

// wake makes the goroutine recompute its wait.
func (r *ticker) wake() {
	select {
	case r.earlier <- struct{}{}:
	default:
	}
}
