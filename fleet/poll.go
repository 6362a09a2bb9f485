package fleet

import "time"

const (
	// ReadyTimeout is the time in which processes that were started have to be ready.
	ReadyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Eventually polls until done returns nil and returns how long it took; the test ends if it takes longer than within.
func Eventually(t T, within time.Duration, done func() error) time.Duration {
	t.Helper()
	started := time.Now()
	var err error
	for time.Since(started) < within {
		if err = done(); err == nil {
			return time.Since(started)
		}
		time.Sleep(pollInterval)
	}
	t.Fatalf("not reached within %v: %v", within, err)
	return 0
}
