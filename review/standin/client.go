package main

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client is a stand-in of a caller with one connection.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
	record *record
	name   string
}

func dial(rec *record, name, address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn), record: rec, name: name}, nil
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// send writes a request with an id of its own and returns the id.
func (c *client) send(method, host, path string, deadline time.Duration, body []byte) (string, error) {
	id := newID()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nEbonyrouter-Request-Id: %s\r\nEbonyrouter-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if body != nil {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	c.record.sent.Store(id, time.Now())
	_ = c.conn.SetWriteDeadline(time.Now().Add(deadline))
	_, err := c.conn.Write(append([]byte(head+"\r\n"), body...))
	c.record.add("%s sends %s: %s %s%s, body of %d bytes", c.name, id, method, host, path, len(body))
	return id, err
}

// response is an answer that a client has read.
type response struct {
	status int
	closes bool
	id     string
	stamp  string
	whole  bool
}

// read reads the next answer.
func (c *client) read(timeout time.Duration) (*response, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.record.add("%s reads no further answer: %v", c.name, err)
		return nil, err
	}
	body, err := io.ReadAll(r.Body)
	got := &response{
		status: r.StatusCode, closes: r.Close, id: r.Header.Get("Ebonyrouter-Request-Id"), stamp: r.Header.Get("Ebonyrouter-Response-Stamp"),
	}
	got.whole = err == nil && bytes.Equal(body, bodyOf(got.id, len(body)))
	c.record.add("%s reads %d, request id %s, stamp %q, Connection: close %v, body of %d bytes, error %v", c.name, got.status, got.id, got.stamp, got.closes, len(body), err)
	return got, err
}
