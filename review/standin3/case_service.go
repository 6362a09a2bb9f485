package main

import "time"

func init() { cases["service"] = caseService }

// serviceRequests is the number of requests to a host name that no route has.
const serviceRequests = 10

// caseService sends requests for which no desired state has a route. With trouble, an uncontrolled client names a service in a header.
func caseService(b *bed, trouble bool) (bool, error) {
	if err := b.usual(1, 20*time.Millisecond, 20*time.Millisecond, 200); err != nil {
		return false, err
	}
	front := b.hosts[0].front()
	if _, a, err := ask(b.log, "caller", front, "POST", bookingPath+"2f", bookingHost, bookingLimit, "x"); err != nil || a.status != 200 {
		return false, errNotServed
	}
	broken := 0
	for range serviceRequests {
		var lines []string
		if trouble {
			lines = append(lines, "Ebony-Service: "+bookings)
		}
		id, a, err := ask(b.log, "uncontrolled client", front, "POST", "/anything", "elsewhere.example", bookingLimit, "x", lines...)
		run, at := b.ran(id)
		switch {
		case run != nil:
			b.log.printf("broken: %s was run by %s, of service %s, which no route allows", id, at.id, at.service)
			broken++
		case err == nil && a.status != 404:
			b.log.printf("%s got status %d instead of 404", id, a.status)
		}
	}
	b.log.printf("%d of %d requests without a route were run", broken, serviceRequests)
	return broken > 0, nil
}
