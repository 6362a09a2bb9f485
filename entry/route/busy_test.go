package route_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/entry/route"
)

// slowOwnership blocks each look-up of an owner until it is allowed to go on.
type slowOwnership struct {
	*fakeWorld
	asked chan struct{}
	goOn  chan struct{}
}

func (s *slowOwnership) Owner(region, object string) (core.Host, bool) {
	s.asked <- struct{}{}
	<-s.goOn
	return s.fakeWorld.Owner(region, object)
}

// busyRouter returns the router of a host without free slots; targets are those of the service.
func busyRouter(targets ...string) (*fakeWorld, *route.Router) {
	f, _ := newWorld()
	f.steady = true
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

// Guards against requests that wait for each other while owners are looked up: at ten times the capacity, requests
// queued for the router's lock for longer than for a slot.
func TestBusyRequestsDoNotWaitForEachOther(t *testing.T) {
	f, _ := busyRouter("t2")
	slow := &slowOwnership{fakeWorld: f, asked: make(chan struct{}), goOn: make(chan struct{})}
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
		case <-slow.asked:
		case <-time.After(5 * time.Second):
			t.Fatal("a request waits for the lock while another one looks an owner up")
		}
	}
	close(slow.goOn)
	assert.NilError(t, <-done)
	assert.NilError(t, <-done)
}

// BenchmarkBusy measures the choice of a hop for requests that find no free local slot, from all cores at once.
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
