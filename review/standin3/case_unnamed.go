package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["unnamed"] = caseUnnamed }

const (
	// unnamedClients is the number of uncontrolled clients of each host, and unnamedPause their mean pause between two requests.
	unnamedClients = 64
	unnamedPause   = 50 * time.Millisecond
	// unnamedWork is the time that a target works on a request.
	unnamedWork = 200 * time.Millisecond
	// unnamedBefore and unnamedAfter are the times for which requests are counted before and after the final fault.
	unnamedBefore = 5 * time.Second
	unnamedAfter  = 10 * time.Second
)

// unnamedClient sends requests without an id, one after the other on a kept connection, until the end, and counts them.
func unnamedClient(address string, sent *atomic.Int64, end time.Time) {
	for time.Now().Before(end) {
		if socket, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			sendUnnamed(socket, sent, end)
			_ = socket.Close()
		}
		time.Sleep(unnamedPause)
	}
}

func sendUnnamed(socket net.Conn, sent *atomic.Int64, end time.Time) {
	reader := bufio.NewReader(socket)
	for time.Now().Before(end) {
		if _, err := fmt.Fprintf(socket, "GET %s2f HTTP/1.1\r\nHost: %s\r\n\r\n", lookupPath, lookupHost); err != nil {
			return
		}
		_ = socket.SetReadDeadline(time.Now().Add(time.Second))
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		sent.Add(1)
		if response.Close {
			return
		}
		time.Sleep(unnamedPause/2 + rand.N(unnamedPause))
	}
}

// caseUnnamed kills all processes at once right after a change of the desired state was acknowledged. With trouble, uncontrolled clients send
// requests without an id when the processes are back.
func caseUnnamed(b *bed, trouble bool) (bool, error) {
	if err := b.usual(2, unnamedWork, unnamedWork, 200); err != nil {
		return false, err
	}
	before := b.newCallers(unnamedBefore)
	if before.served == 0 {
		return false, errNotServed
	}
	if err := b.store.set("config", "main", desiredState("r9", usualRoutes()...)); err != nil {
		return false, err
	}
	b.log.printf("operator: r9 is acknowledged, all processes are killed")
	for _, h := range b.hosts {
		h.signal(syscall.SIGKILL)
	}
	time.Sleep(time.Second)
	for _, h := range b.hosts {
		if err := h.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	b.log.printf("all machines are back and ready")
	end := time.Now().Add(registrationRecover + unnamedAfter + 4*time.Second)
	var group sync.WaitGroup
	var sent atomic.Int64
	for _, h := range b.hosts {
		for range unnamedClients {
			if trouble {
				group.Go(func() { unnamedClient(h.front(), &sent, end) })
			}
		}
	}
	time.Sleep(registrationRecover)
	after := b.newCallers(unnamedAfter)
	group.Wait()
	b.log.printf("%d requests without an id were sent", sent.Load())
	b.log.printf("before the final fault %d of %d requests were served, later than recover after it %d of %d", before.served, before.sent, after.served, after.sent)
	return 4*before.served >= before.sent && 4*after.served < after.sent, nil
}
