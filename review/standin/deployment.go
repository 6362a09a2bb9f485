package main

import (
	"fmt"
	"net/http"
	"time"
)

// deployment starts hosts, and a service lists with two targets and a service items with three, which answer by the given functions.
// A route of books.example leads to each service: /list/ to the first, /item/ to the second. It returns when all hosts are ready.
func (e *env) deployment(hosts int, list, item func(*http.Request) answer) error {
	zones := []string{"zone-uno", "zone-dos"}
	for n := range 5 {
		service, respond := "items", item
		if n < 2 {
			service, respond = "lists", list
		}
		t, err := startTarget(e.record, fmt.Sprintf("i-%s-%d", service, n+1), service, fmt.Sprintf("%s.%d:8080", e.net, 101+n), zones[n%2], 9, respond)
		if err != nil {
			return err
		}
		t.register(e.store)
		e.targets = append(e.targets, t)
	}
	e.putState(2, e.routes()...)
	return e.startHosts(hosts)
}

// routes are the routes of the first desired state.
func (e *env) routes() []route {
	return []route{
		{Name: "list", Host: "books.example", PathPrefix: "/list/", Kind: "safe", Timeout: "4000ms", Aim: "2000ms", Priority: 1, Service: "lists", MaxAttempts: 2},
		{Name: "item", Host: "books.example", PathPrefix: "/item/", Kind: "safe", Timeout: "4000ms", Aim: "2000ms", Priority: 1, Service: "items", MaxAttempts: 2},
	}
}

func (e *env) startHosts(count int) error {
	zones := []string{"zone-uno", "zone-dos"}
	for n := range count {
		if _, err := e.startHost(fmt.Sprintf("front-%s-%d", zones[n%2], n/2+1), e.ip(n+1), zones[n%2]); err != nil {
			return err
		}
	}
	for _, h := range e.hosts {
		if err := h.awaitReady(); err != nil {
			return err
		}
	}
	// The hosts learn of each other.
	time.Sleep(time.Second)
	e.record.add("%d hosts are ready", count)
	return nil
}

// runsOf returns the runs of all targets of a service, or of all services if it is empty.
func (e *env) runsOf(service string) []run {
	var all []run
	for _, t := range e.targets {
		if service == "" || t.service == service {
			all = append(all, t.snapshot()...)
		}
	}
	return all
}

// sentAt returns when a client sent a request.
func (e *env) sentAt(id string) (time.Time, bool) {
	at, found := e.record.sent.Load(id)
	if !found {
		return time.Time{}, false
	}
	return at.(time.Time), true
}
