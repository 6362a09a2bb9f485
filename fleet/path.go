package fleet

import (
	"math/rand/v2"
	"time"
)

// Path is the condition of one direction between two hosts.
type Path struct {
	// Cut resets connections, also those that are opened.
	Cut    bool
	Delay  time.Duration
	Jitter time.Duration
	// ResetAfter is the number of bytes that a connection carries before it is reset; 0 stands for no limit.
	ResetAfter int
	// Silent holds all bytes back until the path is healed, as a network does that loses every packet.
	Silent bool
	Stall  time.Duration
	// StallEach is the mean number of chunks between two stalls of a connection; 0 stands for none.
	StallEach int
}

// due returns the time at which a chunk that was sent now arrives.
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
