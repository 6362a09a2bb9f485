package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["pipeline"] = casePipeline }

const (
	// pipelineCallers is the number of callers, and pipelineRounds how often each sends three requests on its kept connection.
	pipelineCallers = 5
	pipelineRounds  = 30
	// pipelineBroken is the share of the first answers that are broken off: one in so many.
	pipelineBroken = 50
	// pipelineBytes is the size of an answer, below the largest of the sheet of quetzal-thumbs-grown (540,000).
	pipelineBytes = 500_000
	// pipelineWork is the time that a target works on the first request of three, and pipelineOthers on the others.
	pipelineWork   = 300 * time.Millisecond
	pipelineOthers = 50 * time.Millisecond
	// pipelineLosses is the number of losses that the rule permits.
	pipelineLosses = 3
)

// casePipeline lets callers send three safe requests before the first is answered. With trouble, a few answers to the first one are broken
// off by their target; the targets of the other two are sound.
func casePipeline(b *bed, trouble bool) (bool, error) {
	var first atomic.Int64
	for range 2 {
		t := &target{service: bookings, slots: 16, zone: "nord-a", bodySize: pipelineBytes, work: pipelineWork}
		if trouble {
			t.breakOff = func(string) bool { return first.Add(1)%pipelineBroken == 0 }
		}
		if err := b.addTarget(t); err != nil {
			return false, err
		}
		if err := b.addTarget(&target{service: wegfinder, slots: 16, zone: "nord-a", bodySize: pipelineBytes, work: pipelineOthers}); err != nil {
			return false, err
		}
	}
	if err := b.startHosts(1); err != nil {
		return false, err
	}
	var lost, answered atomic.Int64
	var group sync.WaitGroup
	for i := range pipelineCallers {
		group.Go(func() {
			name := fmt.Sprintf("caller %d", i+1)
			var c *caller
			for range pipelineRounds {
				if c == nil {
					if c = b.keptConnection(name); c == nil {
						continue
					}
				}
				n, failed := b.pipelined(c)
				answered.Add(int64(n))
				lost.Add(int64(failed))
				if n < 2 {
					c.close()
					c = nil
				}
			}
		})
	}
	group.Wait()
	b.log.printf("%d answers of sound targets arrived, %d were lost with their connection", answered.Load(), lost.Load())
	if answered.Load() == 0 {
		return false, errNotServed
	}
	return lost.Load() > pipelineLosses, nil
}

// keptConnection returns a connection on which a first request was answered, or nil.
func (b *bed) keptConnection(name string) *caller {
	c, err := dial(b.log, name, b.hosts[0].front())
	if err != nil {
		return nil
	}
	id := newID()
	if c.send(id, http.MethodGet, lookupPath+"2f", lookupHost, lookupLimit, "") == nil {
		if _, err := c.receive(id, http.MethodGet, lookupLimit+time.Second, 0); err == nil {
			return c
		}
	}
	c.close()
	return nil
}

// pipelined sends three requests on a kept connection and returns how many of the last two were answered, and how many were run to their
// end by a sound target and lost with the connection.
func (b *bed) pipelined(c *caller) (answered, lost int) {
	ids := []string{newID(), newID(), newID()}
	for i, id := range ids {
		path := lookupPath + "2f"
		if i == 0 {
			path = secondPath + "2f"
		}
		if err := c.send(id, http.MethodGet, path, lookupHost, lookupLimit, ""); err != nil {
			return 0, 0
		}
	}
	closed := false
	for i, id := range ids {
		if !closed {
			_, err := c.receive(id, http.MethodGet, lookupLimit+time.Second, 0)
			closed = err != nil
		}
		switch run, at := b.ran(id); {
		case i == 0:
		case !closed:
			answered++
		case run != nil && !run.ended.IsZero():
			b.log.printf("broken: %s was run to its end by %s, which is sound, and its connection was closed without an answer", id, at.id)
			lost++
		}
	}
	return answered, lost
}
