package route_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/entry/route"
)

// slowOwnership blocks each lookup of an owner until proceed is closed.
type slowOwnership struct {
	*fixture
	called  chan struct{}
	proceed chan struct{}
}

func (s *slowOwnership) Owner(region, object string) (core.Host, bool) {
	s.called <- struct{}{}
	<-s.proceed
	return s.fixture.Owner(region, object)
}

// busyRouter returns the router of a host without free slots, with the given targets of its service.
func busyRouter(targets ...string) (*fixture, *route.Router) {
	f, _ := newFixture()
	f.fixedStamp = true
	settings := map[string]core.TargetSettings{}
	for _, target := range targets {
		settings[target] = core.TargetSettings{Zone: "z1"}
	}
	f.snapshot.Settings.Services["s"] = core.ServiceSettings{Targets: settings}
	f.snapshot.Settings.Shifts = nil
	return f, route.New(route.Config{
		Host: "h1", Links: f, Load: f, Ownership: f, Region: "r1", Settings: f, Timer: f, Zone: "z1",
	})
}

// Guards against requests that wait for each other during the lookup of owners. At ten times the capacity, requests waited
// longer for the router's mutex than for a slot.
func TestOwnerLookupsRunConcurrently(t *testing.T) {
	f, _ := busyRouter("t2")
	slow := &slowOwnership{fixture: f, called: make(chan struct{}), proceed: make(chan struct{})}
	r := route.New(route.Config{
		Host: "h1", Links: f, Load: f, Ownership: slow, Region: "r1", Settings: f, Timer: f, Zone: "z1",
	})
	done := make(chan error, 2)
	for range 2 {
		go func() {
			_, err := r.Route(core.RouteRequest{AdmitRequest: core.AdmitRequest{Service: "s"}})
			done <- err
		}()
	}
	for range 2 {
		select {
		case <-slow.called:
		case <-time.After(5 * time.Second):
			t.Fatal("a request waits for the mutex during the owner lookup of another one")
		}
	}
	close(slow.proceed)
	assert.NilError(t, <-done)
	assert.NilError(t, <-done)
}

// BenchmarkBusy measures the choice of a hop for requests that find no free local slot, concurrently on all cores.
func BenchmarkBusy(b *testing.B) {
	for name, targets := range map[string][]string{"alone": {"t1"}, "peers": {"t1", "t2", "t3", "t4"}} {
		b.Run(name, func(b *testing.B) {
			_, r := busyRouter(targets...)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					_, _ = r.Route(core.RouteRequest{AdmitRequest: core.AdmitRequest{Service: "s"}})
				}
			})
		})
	}
}
