package store

import "time"

// MemoryOption changes a Memory when it is created.
type MemoryOption func(*Memory)

// WithWatchLimit sets the longest time that Watch waits.
func WithWatchLimit(limit time.Duration) MemoryOption {
	return func(m *Memory) { m.watchLimit = limit }
}
