package store

import "time"

// MemoryOption configures a Memory.
type MemoryOption func(*Memory)

// WithWatchLimit sets the longest time that Watch waits for a change; the default is WatchLimit.
func WithWatchLimit(limit time.Duration) MemoryOption {
	return func(m *Memory) { m.watchLimit = limit }
}
