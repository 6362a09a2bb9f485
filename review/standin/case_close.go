package main

import (
	"net/http"
	"syscall"
	"time"
)

func init() { cases["answer-after-close"] = answerAfterClose }

// answerAfterClose: clients pipeline two safe requests; while both are at work, their host is stopped with SIGTERM. The rule is broken
// if, behind an answer with Connection: close, a success comes on the same connection. The second request counts as not read then,
// and its client has sent it again elsewhere, so that no request waits on this connection.
func answerAfterClose(e *env) (bool, error) {
	if err := e.deployment(2,
		func(*http.Request) answer { return answer{work: 700 * time.Millisecond, size: 120_000} },
		func(*http.Request) answer { return answer{work: 1200 * time.Millisecond, size: 900} }); err != nil {
		return false, err
	}
	// The hosts have been up for longer than contact.
	time.Sleep(4 * time.Second)
	const count = 6
	var clients []*client
	var second [count]string
	for i := range count {
		c, err := dial(e.record, "client-"+string(rune('a'+i)), e.hosts[0].front)
		if err != nil {
			return false, err
		}
		defer func() { _ = c.conn.Close() }()
		clients = append(clients, c)
		if _, err = c.send("GET", "books.example", "/list/1", 4*time.Second, nil); err != nil {
			return false, err
		}
		if second[i], err = c.send("GET", "books.example", "/item/2", 4*time.Second, nil); err != nil {
			return false, err
		}
	}
	time.Sleep(250 * time.Millisecond)
	if e.trouble {
		e.record.add("platform sends SIGTERM to %s", e.hosts[0].name)
		e.hosts[0].signal(syscall.SIGTERM)
	}
	broken := make(chan bool, count)
	for i, c := range clients {
		go func() { broken <- e.readBoth(c, second[i]) }()
	}
	total := 0
	for range count {
		if <-broken {
			total++
		}
	}
	e.record.add("%d of %d connections carried a success behind an answer with Connection: close", total, count)
	return total > 0, nil
}

// readBoth reads the answers to two requests and reports whether the second one, a success, follows one that closes the connection.
func (e *env) readBoth(c *client, second string) bool {
	r, err := c.read(5 * time.Second)
	if err != nil {
		return false
	}
	closes := r.closes
	if closes {
		// Its second request counts as not read: the client sends it again on another connection, to the other host.
		e.record.add("%s: %s counts as not read", c.name, second)
		if other, err := dial(e.record, c.name, e.hosts[1].front); err == nil {
			defer func() { _ = other.conn.Close() }()
			_, _ = other.send("GET", "books.example", "/item/2", 4*time.Second, nil)
			defer func() { _, _ = other.read(5 * time.Second) }()
		}
	}
	r, err = c.read(5 * time.Second)
	if err != nil || !closes || r.status != http.StatusOK {
		return false
	}
	e.record.add("%s gets a success for %s on a connection on which no request waits", c.name, r.id)
	return true
}
