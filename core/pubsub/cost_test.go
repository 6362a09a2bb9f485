package pubsub_test

import (
	"runtime"
	"testing"
	"time"
)

// roundsPerMeasurement is the number of rounds between two readings of the memory statistics.
const roundsPerMeasurement = 100

// cost accumulates the time and the allocations of the whole process over many rounds of one operation.
type cost struct {
	elapsed time.Duration
	mallocs uint64
	rounds  int
}

// measure adds the cost of roundsPerMeasurement rounds of operation.
func (c *cost) measure(operation func()) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	for range roundsPerMeasurement {
		operation()
	}
	c.elapsed += time.Since(start)
	runtime.ReadMemStats(&after)
	c.mallocs += after.Mallocs - before.Mallocs
	c.rounds += roundsPerMeasurement
}

func (c *cost) report(b *testing.B, name string) {
	b.ReportMetric(float64(c.elapsed.Nanoseconds())/float64(c.rounds), name+"-ns")
	b.ReportMetric(float64(c.mallocs)/float64(c.rounds), name+"-allocs")
}
