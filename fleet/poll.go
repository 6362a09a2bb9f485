package fleet

import "time"

const (
	// ReadyTimeout is the time within which started processes must become ready.
	ReadyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Eventually polls condition until it returns nil, and returns the elapsed time. The test ends with the last error after
// timeout.
func Eventually(t T, timeout time.Duration, condition func() error) time.Duration {
	t.Helper()
	started := time.Now()
	var err error
	for time.Since(started) < timeout {
		if err = condition(); err == nil {
			return time.Since(started)
		}
		time.Sleep(pollInterval)
	}
	t.Fatalf("condition not met within %v: %v", timeout, err)
	return 0
}
