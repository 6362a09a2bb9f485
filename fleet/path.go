package fleet

import (
	"math/rand/v2"
	"time"
)

// Path is the state of the network in one direction between two members.
type Path struct {
	// Cut resets open connections and each new one.
	Cut bool
	// Delay is the one-way latency.
	Delay time.Duration
	// Jitter is the upper bound of a random delay that is added for each chunk.
	Jitter time.Duration
	// ResetAfter is the number of bytes after which a connection is reset; 0 means never.
	ResetAfter int
	// Silent delays all bytes until the path has recovered, as on a network that drops every packet.
	Silent bool
	// Stall is the additional delay of a chunk that stalls.
	Stall time.Duration
	// StallEach is the mean number of chunks between two stalls of a connection; 0 means no stalls.
	StallEach int
}

// due returns the delivery time of a chunk that is sent now.
func (p Path) due() time.Time {
	due := time.Now().Add(p.Delay)
	if p.Jitter > 0 {
		due = due.Add(rand.N(p.Jitter))
	}
	if p.StallEach > 0 && rand.IntN(p.StallEach) == 0 {
		due = due.Add(p.Stall)
	}
	return due
}
