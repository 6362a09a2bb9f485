package main

import (
	"sync"
	"time"
)

// traffic is a number of clients that send one request after the other, each on connections to one host.
type traffic struct {
	done  chan struct{}
	group sync.WaitGroup
}

// startTraffic starts the clients; half of them use each host.
func (e *env) startTraffic(method, path string, clients int) *traffic {
	t := &traffic{done: make(chan struct{})}
	for n := range clients {
		t.group.Go(func() {
			var c *client
			for {
				select {
				case <-t.done:
					return
				case <-time.After(40 * time.Millisecond):
				}
				if c == nil {
					var err error
					if c, err = dial(e.record, "client-"+string(rune('a'+n)), e.hosts[n%len(e.hosts)].front); err != nil {
						continue
					}
				}
				_, err := c.send(method, "books.example", path, 4*time.Second, nil)
				if err == nil {
					var r *response
					if r, err = c.read(5 * time.Second); err == nil && !r.closes {
						continue
					}
				}
				_ = c.conn.Close()
				c = nil
			}
		})
	}
	return t
}

func (t *traffic) stop() {
	close(t.done)
	t.group.Wait()
}
