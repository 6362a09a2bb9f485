package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"ebonyrouter.dev/soak/stand"
)

const (
	// contact is the time after a disturbance from which a host must keep all promises.
	contact = 4 * time.Second
	// lossSlack is the time within which a connection may be closed although a request has been sent on it.
	lossSlack = 200 * time.Millisecond
	// lateGrace is the part of the grace period, at its end, in which work of targets may be cut off.
	lateGrace = grace / 6
	// acceptTime is the time after SIGTERM in which requests must be completed unless a target still works on them.
	acceptTime = 3 * time.Second
)

// check returns the broken promises of a run.
func (d *deployment) check(h *history) []string {
	var problems []string
	for _, host := range d.hosts {
		_, _, failures := host.snapshot()
		problems = append(problems, failures...)
	}
	for _, r := range h.all() {
		run := d.record.Run(r.id)
		if text := checkRequest(r, run, d.record.Crashed(run.Target)); text != "" {
			problems = append(problems, describe(r, run, text))
		}
	}
	return problems
}

// checkRequest returns the promise that was broken for a request, or "".
func checkRequest(r *request, run stand.Run, crashed time.Time) string {
	switch {
	case r.class.unsafe && run.Runs > 1:
		return fmt.Sprintf("ran %d times", run.Runs)
	case r.class.unsafe && run.Runs > 0 && r.result == resultAnswered && notRun(r.status):
		return fmt.Sprintf("answered %d and ran", r.status)
	case r.result == resultForeign:
		return r.cause
	case r.result == resultCut && isLost(r, run, crashed):
		return "ended without an answer: " + r.cause
	}
	return ""
}

// notRun reports whether a status promises that the request has not run.
func notRun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout ||
		status == http.StatusMisdirectedRequest
}

// isLost reports whether a connection that ended without an answer breaks a promise. Hosts that were killed or paused, and targets
// that ended, excuse it.
func isLost(r *request, run stand.Run, crashed time.Time) bool {
	disturbed, terms, _ := r.host.snapshot()
	for _, at := range disturbed {
		if at.After(r.sent.Add(-contact)) && at.Before(r.ended.Add(lossSlack)) {
			return false
		}
	}
	if crashed.After(r.sent) && crashed.Before(r.ended.Add(lossSlack)) {
		return false
	}
	passedOn := run.Arrivals > 0
	if !passedOn && (r.behind > 0 || r.ended.Sub(r.sent) < lossSlack) {
		return false
	}
	return !slices.ContainsFunc(terms, func(at time.Time) bool { return endsWithGrace(r, run, at) })
}

// endsWithGrace reports whether a request was cut at the end of the grace period that began with a SIGTERM, although it was sent in
// time, because its target still worked on it.
func endsWithGrace(r *request, run stand.Run, term time.Time) bool {
	late := term.Add(grace - lateGrace)
	working := !run.Began.IsZero() && (run.Ended.IsZero() || run.Ended.After(late))
	return working && r.sent.Before(term.Add(acceptTime)) && r.ended.After(late)
}

// describe returns a line on a request for which a promise was broken.
func describe(r *request, run stand.Run, text string) string {
	name := ""
	var since string
	if r.host != nil {
		name = r.host.name
		_, terms, _ := r.host.snapshot()
		for _, at := range terms {
			if at.Before(r.ended) {
				since = fmt.Sprintf(", sent %v and ended %v after SIGTERM", r.sent.Sub(at).Round(time.Millisecond), r.ended.Sub(at).Round(time.Millisecond))
			}
		}
	}
	return fmt.Sprintf("%s %s %s at %s, sent %s, ended after %v, kept %v, behind %d, arrivals %d at %s: %s%s", r.class.name, r.id, r.class.kind(), name,
		r.sent.Format("15:04:05.000"), r.ended.Sub(r.sent).Round(time.Millisecond), r.kept, r.behind, run.Arrivals, run.Target, text, since)
}
