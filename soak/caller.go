package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"ebonyrouter.dev/soak/stand"
)

const (
	dialTimeout   = time.Second
	bookingBytes  = 4000
	maxPipelined  = 4
	keptIdleLimit = 9 * time.Second
)

// connection is one connection of a caller to a host.
type connection struct {
	conn   net.Conn
	host   *host
	reader *bufio.Reader
	used   bool
	// idleSince is the time of the last response.
	idleSince time.Time
}

// callers sends the requests of one class and region.
type callers struct {
	class     *class
	directory *directory
	report    func(*request)

	mutex sync.Mutex
	idle  []*connection
}

// open returns an idle connection to a host that the directory still names, or a new one.
func (c *callers) open(ctx context.Context) (*connection, *host, error) {
	named := c.directory.hosts(ctx)
	c.mutex.Lock()
	for len(c.idle) > 0 && c.class.habit != habitFresh {
		k := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if slices.Contains(named, k.host) && time.Since(k.idleSince) < keptIdleLimit {
			c.mutex.Unlock()
			return k, k.host, nil
		}
		_ = k.conn.Close()
	}
	c.mutex.Unlock()
	if len(named) == 0 {
		return nil, nil, errors.New("the directory names no host")
	}
	h := named[rand.IntN(len(named))] //nolint:gosec // A test load.
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", h.front)
	if err != nil {
		return nil, h, err
	}
	return &connection{conn: conn, host: h, reader: bufio.NewReader(conn)}, h, nil
}

// send sends requests, several of them on one connection if the class pipelines, and waits for their ends.
func (c *callers) send(ctx context.Context, count int) {
	k, h, err := c.open(ctx)
	if err != nil {
		c.report(&request{class: c.class, host: h, id: newID(), sent: time.Now(), ended: time.Now(), result: resultNotSent, cause: err.Error()})
		return
	}
	var sent []*request
	for n := range count {
		r := &request{class: c.class, host: h, id: newID(), sent: time.Now(), kept: k.used || n > 0, behind: n}
		if err := k.write(r); err != nil {
			r.ended, r.result, r.cause = time.Now(), resultNotSent, err.Error()
			c.report(r)
			break
		}
		sent = append(sent, r)
	}
	keep := len(sent) == count
	for n, r := range sent {
		closes := k.read(r)
		c.report(r)
		if r.result == resultAnswered && !closes {
			continue
		}
		keep = false
		// Requests behind a response that closes the connection are not read.
		if r.result == resultAnswered {
			break
		}
		for _, behind := range sent[n+1:] {
			behind.ended, behind.result, behind.cause = time.Now(), r.result, r.cause
			c.report(behind)
		}
		break
	}
	if !keep || c.class.habit == habitFresh {
		_ = k.conn.Close()
		return
	}
	k.used, k.idleSince = true, time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idle = append(c.idle, k)
}

// write sends a request.
func (k *connection) write(r *request) error {
	var body []byte
	if r.class.unsafe {
		body = bytes.Repeat([]byte("x"), bookingBytes)
	}
	_ = k.conn.SetWriteDeadline(time.Now().Add(r.class.deadline))
	_, err := fmt.Fprintf(k.conn, "%s %s%s HTTP/1.1\r\nHost: %s\r\nEbonyrouter-Request-Id: %s\r\nEbonyrouter-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		r.class.method(), r.class.path(), r.id, hostName, r.id, r.class.deadline.Milliseconds(), len(body), body)
	return err
}

// read reads the response to a request and reports whether it closes the connection.
func (k *connection) read(r *request) (closes bool) {
	defer func() { r.ended = time.Now() }()
	_ = k.conn.SetReadDeadline(r.sent.Add(r.class.deadline))
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		r.fail(err)
		return true
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		r.fail(err)
		return true
	}
	r.result, r.status = resultAnswered, response.StatusCode
	success := response.StatusCode < http.StatusMultipleChoices
	if success && (response.Header.Get("Ebonyrouter-Response-Stamp") == "" || !bytes.Equal(body, stand.Body(r.id))) {
		r.result, r.cause = resultForeign, fmt.Sprintf("a body of %d bytes that does not belong to the request", len(body))
	}
	return response.Close
}

func newID() string {
	var id [8]byte
	for i := range id {
		id[i] = byte(rand.Uint32()) //nolint:gosec // Identifies a request of the test load.
	}
	return hex.EncodeToString(id[:])
}
