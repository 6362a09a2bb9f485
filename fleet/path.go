package fleet

import (
	"math/rand/v2"
	"time"
)

// Path is the state of the network in one direction between two endpoints.
type Path struct {
	// Reset resets the open connections, and each new connection after it is accepted.
	Reset bool
	// Delay is the one-way latency.
	Delay time.Duration
	// Jitter is the upper bound of a random delay that is added for each chunk.
	Jitter time.Duration
	// ResetAfter is the number of bytes after which a connection is reset; 0 means never.
	ResetAfter int
	// Blackhole holds back all bytes until the path has recovered, as on a network that drops every packet.
	Blackhole bool
	// Stall is the additional delay of a chunk that stalls.
	Stall time.Duration
	// ChunksPerStall is the mean number of chunks between two stalls of a connection; 0 means no stalls.
	ChunksPerStall int
}

// due returns the delivery time of a chunk that is sent now.
func (p Path) due() time.Time {
	due := time.Now().Add(p.Delay)
	if p.Jitter > 0 {
		due = due.Add(rand.N(p.Jitter))
	}
	if p.ChunksPerStall > 0 && rand.IntN(p.ChunksPerStall) == 0 {
		due = due.Add(p.Stall)
	}
	return due
}
