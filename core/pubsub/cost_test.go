package pubsub_test

import (
	"runtime"
	"testing"
	"time"
)

const roundsPerCost = 100

// cost accumulates the time and the allocations of the whole process over many rounds of one operation.
type cost struct {
	elapsed time.Duration
	mallocs uint64
	rounds  int
}

func (c *cost) add(operation func()) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	for range roundsPerCost {
		operation()
	}
	c.elapsed += time.Since(start)
	runtime.ReadMemStats(&after)
	c.mallocs += after.Mallocs - before.Mallocs
	c.rounds += roundsPerCost
}

func (c *cost) report(b *testing.B, name string) {
	b.ReportMetric(float64(c.elapsed.Nanoseconds())/float64(c.rounds), name+"-ns")
	b.ReportMetric(float64(c.mallocs)/float64(c.rounds), name+"-allocs")
}
