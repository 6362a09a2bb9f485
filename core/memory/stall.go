package memory

import (
	"sync/atomic"
	"time"
)

// progressBytes is the number of bytes after which the measure of a stall begins again, so that a client that is slow but steady is not
// mistaken for one that has stopped.
const progressBytes = 64 << 10

// stall measures how long calls of one direction of a connection have waited for the client. Only one call may be in progress.
type stall struct {
	// began is the time in Unix nanoseconds at which the call in progress began, or 0.
	began atomic.Int64
	// bytes were transferred and total nanoseconds waited since the measure began.
	bytes, total atomic.Int64
}

func (s *stall) begin(now time.Time) {
	s.began.Store(now.UnixNano())
}

func (s *stall) end(now time.Time, bytes int) {
	began := s.began.Swap(0)
	if s.bytes.Add(int64(bytes)) >= progressBytes {
		s.reset()
		return
	}
	s.total.Add(now.UnixNano() - began)
}

func (s *stall) inProgress() bool { return s.began.Load() != 0 }

func (s *stall) reset() {
	s.bytes.Store(0)
	s.total.Store(0)
}

// waited returns the time of all calls since the measure began, including the one in progress.
func (s *stall) waited(now time.Time) time.Duration {
	waited := s.total.Load()
	if began := s.began.Load(); began != 0 {
		waited += now.UnixNano() - began
	}
	return time.Duration(max(0, waited))
}
