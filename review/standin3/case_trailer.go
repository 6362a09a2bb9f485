package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["trailer"] = caseTrailer }

const (
	// trailerCrowd is the number of uncontrolled clients of each host, less than a sixth of the connections that its port accepts.
	trailerCrowd = 400
	// trailerHead is the size of their heads, above the limit of 16,384 bytes of the desired state.
	trailerHead = 60_000
	// trailerFor is the time for which the crowd connects again after each end of a connection.
	trailerFor = 30 * time.Second
	// trailerRest is the pause of an uncontrolled client before it connects again.
	trailerRest = 500 * time.Millisecond
)

// largeHead returns a head over the limit that announces many trailers. The same bytes stand in an ordinary line if announce is not set.
func largeHead(announce bool) []byte {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$&*+-.^_`|~"
	var head bytes.Buffer
	_, _ = fmt.Fprintf(&head, "POST %s2f HTTP/1.1\r\nHost: %s\r\nEbonyrouter-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n", bookingPath, bookingHost, newID())
	name := "X-Other"
	if announce {
		name = "Trailer"
	}
	head.WriteString(name + ": ")
	for i := 0; head.Len() < trailerHead; i++ {
		n := len(letters)
		head.Write([]byte{letters[i%n], letters[i/n%n], letters[i/n/n%n], ','})
	}
	head.WriteString("zz\r\n\r\n")
	return head.Bytes()
}

// largeClient sends a head over the limit and stays until the node closes the connection or the end.
func largeClient(address string, head []byte, end time.Time) {
	for time.Now().Before(end) {
		socket, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			_, _ = socket.Write(head)
			_ = socket.SetReadDeadline(end)
			_, _ = socket.Read(make([]byte, 512))
			_ = socket.Close()
		}
		time.Sleep(trailerRest)
	}
}

// caseTrailer lets uncontrolled clients send heads over the limit. With trouble, these announce trailers.
func caseTrailer(b *bed, trouble bool) (bool, error) {
	if err := b.usual(2, 50*time.Millisecond, 50*time.Millisecond, 200); err != nil {
		return false, err
	}
	done := make(chan struct{})
	var guards, group sync.WaitGroup
	kills, most := make([]int, len(b.hosts)), make([]int64, len(b.hosts))
	for i, h := range b.hosts {
		guards.Go(func() { kills[i], most[i] = h.guardMemory(done) })
	}
	head, end := largeHead(trouble), time.Now().Add(trailerFor)
	for _, h := range b.hosts {
		for range trailerCrowd {
			group.Go(func() { largeClient(h.front(), head, end) })
		}
	}
	answered, asked := 0, 0
	for time.Now().Before(end) {
		for _, h := range b.hosts {
			asked++
			if _, a, err := ask(b.log, "ordinary caller", h.front(), http.MethodGet, lookupPath+"2f", lookupHost, lookupLimit, ""); err == nil && a.status > 0 {
				answered++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	group.Wait()
	close(done)
	guards.Wait()
	ended := 0
	for i, h := range b.hosts {
		b.log.printf("host %s: %d times over its memory, at most %d MB of %d", h.name, kills[i], most[i]>>20, b.machine.memoryMB)
		if kills[i] >= 3 {
			ended++
		}
	}
	b.log.printf("%d of %d ordinary requests were answered", answered, asked)
	return ended >= 2, nil
}
