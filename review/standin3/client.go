package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// requestCount numbers the requests of all clients.
var requestCount atomic.Int64

// newID returns the id of a new request.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07be2000000+requestCount.Add(1)) }

// answer is what a client got for a request.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// caller is a client on one connection.
type caller struct {
	log    *record
	name   string
	reader *bufio.Reader
	socket net.Conn
}

func dial(log *record, name, address string) (*caller, error) {
	socket, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return newCaller(log, name, socket), nil
}

func newCaller(log *record, name string, socket net.Conn) *caller {
	return &caller{log: log, name: name, reader: bufio.NewReader(socket), socket: socket}
}

func (c *caller) close() { _ = c.socket.Close() }

// send writes a request with an id, a time limit and further lines of the head.
func (c *caller) send(id, method, uri, host string, limit time.Duration, body string, lines ...string) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nEbonyrouter-Request-Id: %s\r\nEbonyrouter-Deadline-Ms: %d\r\n", method, uri, host, id, limit.Milliseconds())
	for _, line := range lines {
		head += line + "\r\n"
	}
	if body != "" || method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	c.log.printf("%s: sends %s: %s %q, host %s %v", c.name, id, method, uri, host, lines)
	_, err := c.socket.Write([]byte(head + "\r\n" + body))
	return err
}

// receive reads an answer. pace, if above 0, is a pause after each kilobyte of the body.
func (c *caller) receive(id, method string, timeout, pace time.Duration) (*answer, error) {
	_ = c.socket.SetReadDeadline(time.Now().Add(timeout))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.log.printf("%s: %s gets no answer: %v", c.name, id, err)
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var body []byte
	for part := make([]byte, 1024); ; {
		n, readErr := response.Body.Read(part)
		body = append(body, part[:n]...)
		if readErr == io.EOF {
			break
		}
		if readErr != nil {
			c.log.printf("%s: %s gets status %d and an incomplete body: %v", c.name, id, response.StatusCode, readErr)
			return nil, readErr
		}
		time.Sleep(pace)
	}
	c.log.printf("%s: %s gets status %d, stamp %q, body of %d bytes", c.name, id, response.StatusCode, response.Header.Get("Ebonyrouter-Response-Stamp"), len(body))
	return &answer{status: response.StatusCode, header: response.Header, body: body}, nil
}

// ask sends a request on a new connection and returns its answer.
func ask(log *record, name, address, method, uri, host string, limit time.Duration, body string, lines ...string) (string, *answer, error) {
	id := newID()
	c, err := dial(log, name, address)
	if err != nil {
		log.printf("%s: no connection: %v", name, err)
		return id, nil, err
	}
	defer c.close()
	if err := c.send(id, method, uri, host, limit, body, lines...); err != nil {
		return id, nil, err
	}
	a, err := c.receive(id, method, limit+time.Second, 0)
	return id, a, err
}

// lookUp asks a directory which hosts to use.
func lookUp(log *record, directory, host, region, zone string) (int, string) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s/api/resolve?name=%s&region=%s&zone=%s", directory, host, region, zone))
	if err != nil {
		log.printf("look-up at %s: %v", directory, err)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	log.printf("look-up at %s: status %d: %.80q", directory, response.StatusCode, body)
	return response.StatusCode, string(body)
}
