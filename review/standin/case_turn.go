package main

import (
	"net/http"
	"strings"
	"time"
)

func init() { cases["lost-behind-slow-answer"] = lostBehindSlowAnswer }

// lostBehindSlowAnswer: clients pipeline three safe requests each: one to a service whose targets have turned slow, one whose target
// answers at once with 120 kB, and one whose target answers at once with 900 bytes. The rule is broken if, more than three times,
// the third request, which a sound target has answered, ends without an answer because the host closes the connection.
func lostBehindSlowAnswer(e *env) (bool, error) {
	// The targets of lists, 2 of 5, work five times as long as usual.
	list := answer{work: 500 * time.Millisecond, size: 900}
	if e.trouble {
		list.work *= 5
	}
	if err := e.deployment(2,
		func(*http.Request) answer { return list },
		func(r *http.Request) answer {
			if strings.HasPrefix(r.URL.Path, "/item/") {
				return answer{work: 50 * time.Millisecond, size: 120_000}
			}
			return answer{work: 50 * time.Millisecond, size: 900}
		}); err != nil {
		return false, err
	}
	routes := e.routes()
	routes[1].Timeout = "1500ms"
	routes = append(routes, routes[1])
	routes[2].Name, routes[2].PathPrefix, routes[2].Timeout = "note", "/note/", "4000ms"
	e.putState(5, routes...)
	// The hosts have been up, and the desired state has been in force, for longer than contact.
	time.Sleep(5 * time.Second)
	const count = 6
	var clients []*client
	notes := map[string]bool{}
	for n := range count {
		c, err := dial(e.record, "client-"+string(rune('a'+n)), e.hosts[n%2].front)
		if err != nil {
			return false, err
		}
		defer func() { _ = c.conn.Close() }()
		clients = append(clients, c)
		for _, path := range []string{"/list/1", "/item/2", "/note/3"} {
			id, err := c.send("GET", "books.example", path, 4*time.Second, nil)
			if err != nil {
				return false, err
			}
			if path == "/note/3" {
				notes[id] = true
			}
		}
	}
	for _, c := range clients {
		for range 3 {
			r, err := c.read(6 * time.Second)
			if err != nil {
				break
			}
			delete(notes, r.id)
		}
	}
	lost := 0
	for _, r := range e.runsOf("items") {
		if notes[r.id] && r.outcome == "200" {
			e.record.add("%s was passed on to a sound target, which answered it; its connection was closed without an answer", r.id)
			lost++
		}
	}
	e.record.add("%d of %d requests that sound targets had answered were lost", lost, count)
	return lost > 3, nil
}
