package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// locality counts, for the requests of a service with an affinity key, whether their targets had served the key before.
type locality struct {
	requests int
	// repeated counts the requests whose key any target had been sent before, and atSameTarget those whose own target had.
	repeated     int
	atSameTarget int
	// expectedKnown counts the requests whose target was expected to know the key.
	expectedKnown int
	// targets holds the targets to which each key was sent.
	targets map[uint64]map[string]bool
}

// add counts the choice of a target.
func (c *locality) add(l *logLine) {
	c.requests++
	if l.KnownKey {
		c.expectedKnown++
	}
	if c.targets == nil {
		c.targets = map[uint64]map[string]bool{}
	}
	sent := c.targets[l.Key]
	if sent == nil {
		sent = map[string]bool{}
		c.targets[l.Key] = sent
	} else {
		c.repeated++
	}
	if sent[l.Target] {
		c.atSameTarget++
	}
	sent[l.Target] = true
}

// targetsPerKey returns the mean number of targets to which a key was sent.
func (c *locality) targetsPerKey() float64 {
	sum := 0
	for _, sent := range c.targets {
		sum += len(sent)
	}
	return float64(sum) / float64(len(c.targets))
}

// localityTable returns a row for each service, in descending order of requests.
func localityTable(services map[string]*locality) string {
	names := slices.SortedFunc(maps.Keys(services), func(a, b string) int {
		return cmp.Or(cmp.Compare(services[b].requests, services[a].requests), cmp.Compare(a, b))
	})
	text := "| service | requests with a key | keys | targets a key | not the first of their key | at a target that had served it | expected to be known |\n" +
		"|---|---|---|---|---|---|---|\n"
	for _, name := range names {
		c := services[name]
		share := func(n int) float64 { return float64(n) / float64(c.requests) }
		text += fmt.Sprintf("| %s | %d | %d | %.1f | %.3f | %.3f | %.3f |\n", name, c.requests, len(c.targets), c.targetsPerKey(),
			share(c.repeated), share(c.atSameTarget), share(c.expectedKnown))
	}
	return text
}
