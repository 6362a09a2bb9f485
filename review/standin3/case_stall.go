package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stall"] = caseStall }

const (
	// stallCallers is the number of ordinary callers.
	stallCallers = 8
	// stallCrowd is the number of connections of uncontrolled clients that are open while the callers read, and stallMore the number of
	// those that come later. All send one request inside the limits.
	stallCrowd = 2500
	stallMore  = 600
	// stallBytes is the size of the response that the callers read slowly, and stallPace their pause after each kilobyte.
	stallBytes = 60_000
	stallPace  = 60 * time.Millisecond
	// stallReceiveBuffer is the receive buffer of a slow caller.
	stallReceiveBuffer = 4096
	// stallWork is the time that a booking takes.
	stallWork = 2500 * time.Millisecond
	// stallLosses is the number of losses that the rule permits.
	stallLosses = 3
)

// crowdClient opens a connection, sends one request inside the limits, reads its answer and stays. It returns nil if it was turned away.
func crowdClient(address string) net.Conn {
	socket, err := net.DialTimeout("tcp", address, 3*time.Second)
	if err != nil {
		return nil
	}
	_, _ = fmt.Fprintf(socket, "GET /none/ HTTP/1.1\r\nHost: none.example\r\nEbonyrouter-Request-Id: %s\r\n\r\n", newID())
	_ = socket.SetReadDeadline(time.Now().Add(3 * time.Second))
	if _, err := socket.Read(make([]byte, 2048)); err != nil {
		_ = socket.Close()
		return nil
	}
	return socket
}

// crowd opens connections of uncontrolled clients and returns those that were answered.
func crowd(address string, count int) []net.Conn {
	var open []net.Conn
	var mutex sync.Mutex
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() {
			for range count / 50 {
				if socket := crowdClient(address); socket != nil {
					mutex.Lock()
					open = append(open, socket)
					mutex.Unlock()
				}
			}
		})
	}
	group.Wait()
	return open
}

// slowCaller is a caller with a small receive buffer.
func slowCaller(log *record, name, address string) (*caller, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, stallReceiveBuffer)
		})
	}}
	socket, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return newCaller(log, name, socket), nil
}

// caseStall lets ordinary callers read one response slowly on a kept connection, and then send a booking on it. With trouble, the port is
// filled by uncontrolled clients during the booking.
func caseStall(b *bed, trouble bool) (bool, error) {
	if err := b.usual(1, stallWork, 20*time.Millisecond, stallBytes); err != nil {
		return false, err
	}
	front := b.hosts[0].front()
	open := crowd(front, stallCrowd)
	defer func() {
		for _, socket := range open {
			_ = socket.Close()
		}
	}()
	b.log.printf("%d connections of uncontrolled clients are open", len(open))
	var lost, served int
	var mutex sync.Mutex
	var group sync.WaitGroup
	sent := make(chan struct{}, stallCallers)
	for i := range stallCallers {
		group.Go(func() {
			c, err := slowCaller(b.log, fmt.Sprintf("caller %d", i+1), front)
			if err != nil {
				sent <- struct{}{}
				return
			}
			defer c.close()
			id := newID()
			_ = c.send(id, http.MethodGet, lookupPath+"2f", lookupHost, lookupLimit, "")
			a, err := c.receive(id, http.MethodGet, 10*time.Second, stallPace)
			if err != nil || a.status != http.StatusOK {
				sent <- struct{}{}
				return
			}
			id = newID()
			_ = c.send(id, http.MethodPost, bookingPath+"2f", bookingHost, bookingLimit, "a booking")
			sent <- struct{}{}
			_, err = c.receive(id, http.MethodPost, bookingLimit+time.Second, 0)
			run, _ := b.ran(id)
			mutex.Lock()
			defer mutex.Unlock()
			switch {
			case err == nil:
				served++
			case run != nil:
				b.log.printf("broken: %s was passed on to a sound target and its kept connection was closed without an answer: %v", id, err)
				lost++
			}
		})
	}
	for range stallCallers {
		<-sent
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		more := crowd(front, stallMore)
		b.log.printf("%d of %d further uncontrolled clients were answered", len(more), stallMore)
		open = append(open, more...)
	}
	group.Wait()
	b.log.printf("of %d bookings %d were answered and %d lost", stallCallers, served, lost)
	if served+lost < stallCallers/2 {
		return false, errNotServed
	}
	return lost > stallLosses, nil
}
