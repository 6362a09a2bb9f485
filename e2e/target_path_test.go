package e2e_test

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/fleet"
)

// targetPath is the network path between a target and its owner.
type targetPath struct {
	n      *fleet.Network
	owner  *fleet.Host
	target string
}

// set sets the path in both directions.
func (p targetPath) set(state fleet.Path) { p.n.SetPaths(p.owner.Name, p.target, state) }

// makeUnresponsive makes the open connections unresponsive for the rest of the test.
func (p targetPath) makeUnresponsive() { p.n.MakeUnresponsive(p.owner.Name, p.target) }

// Guards against the consequences of network faults between a host and a target that both work: a target over its slots, a
// key that runs twice, a request that is reported as not run although it ran, a mixed or incomplete response, a request that
// runs after its caller received a response or an error, and requests that are affected for longer than
// affectedLimit after the fault and after its end. The test network accepts connections on a blackholed path, so no case
// covers dials that time out.
func TestTargetPaths(t *testing.T) {
	t.Parallel()
	tests := map[string]func(p targetPath){
		"open connections silent": func(p targetPath) { p.makeUnresponsive() },
		"open connections silent and steer frozen": func(p targetPath) {
			_ = p.owner.Steer.Signal(syscall.SIGSTOP)
			p.makeUnresponsive()
		},
		"open connections silent, new ones refused": func(p targetPath) {
			p.makeUnresponsive()
			p.n.RefuseConnections(p.target)
		},
		"responses cut":          func(p targetPath) { p.set(fleet.Path{ResetAfter: 20 << 10}) },
		"all connections silent": func(p targetPath) { p.set(fleet.Path{Blackhole: true}) },
	}
	for name, inject := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := faultSpec()
			s.Network, s.TargetPaths, s.BodyBytes = true, true, 40<<10
			d := deploy(t, s)
			var paths []targetPath
			for _, service := range []string{"board", "booking"} {
				paths = append(paths, targetPath{n: d.Network, owner: d.Owner("north", service, 0), target: d.Targets[service][0]})
			}
			reads, bookings := startLoad(d, "board", false), startLoad(d, "booking", true)
			time.Sleep(warmUp)
			injected := time.Now()
			for _, p := range paths {
				inject(p)
			}
			time.Sleep(affectedLimit + 200*time.Millisecond)
			// Each booking that finished before runsRead has its run in runsBefore, which is read later.
			runsRead := time.Now()
			runsBefore := d.Runs("booking")
			recovered := time.Now()
			for _, p := range paths {
				p.set(fleet.Path{})
			}
			time.Sleep(500 * time.Millisecond)
			readResults, bookingResults := reads.finish(), bookings.finish()
			assertLimits(d)
			assertReportedRuns(t, d, "booking", bookingResults)
			assertRecovery(t, "reads", readResults, injected, recovered)
			assertRecovery(t, "bookings", bookingResults, injected, recovered)
			runsAfter := d.Runs("booking")
			for _, r := range bookingResults {
				finished := r.startedAt.Add(r.elapsed).Before(runsRead)
				assert.Check(t, !finished || runsAfter[r.key] == runsBefore[r.key],
					"ran after its caller received a response or an error, when the path recovered: %+v", r.response)
			}
		})
	}
}
