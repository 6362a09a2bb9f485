package e2e_test

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/fleet"
)

// targetPath is the path from the owner of a target to the target.
type targetPath struct {
	n      *fleet.Network
	owner  *fleet.Host
	target string
}

// set changes the path in both directions.
func (w targetPath) set(to fleet.Path) { w.n.Set(w.owner.Name, w.target, to) }

// lose makes the open connections silent for good.
func (w targetPath) lose() { w.n.Lose(w.owner.Name, w.target) }

// Guards against each fault by which a host and a target that both work lose each other: a target over its slots, a key
// that runs twice, an untrue report of not run, a mixed or cut response, a request that runs after it was given up, and
// requests that stay affected for longer than the stated time after the fault and after its end. The forwarder accepts
// connections on a silent path, so that dials without an answer are not among the cases.
func TestTargetPaths(t *testing.T) {
	t.Parallel()
	tests := map[string]func(w targetPath){
		"open connections silent": func(w targetPath) { w.lose() },
		"open connections silent and steer frozen": func(w targetPath) {
			_ = w.owner.Steer.Signal(syscall.SIGSTOP)
			w.lose()
		},
		"open connections silent, new ones refused": func(w targetPath) {
			w.lose()
			w.n.Refuse(w.target)
		},
		"responses cut":          func(w targetPath) { w.set(fleet.Path{ResetAfter: 20 << 10}) },
		"all connections silent": func(w targetPath) { w.set(fleet.Path{Silent: true}) },
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
			for _, w := range paths {
				inject(w)
			}
			time.Sleep(affectedLimit + 200*time.Millisecond)
			ran, healed := d.Runs("booking"), time.Now()
			for _, w := range paths {
				w.set(fleet.Path{})
			}
			time.Sleep(500 * time.Millisecond)
			read, booked := reads.finish(), bookings.finish()
			assertLimits(d)
			assertTruth(t, d, "booking", booked)
			assertAffected(t, "reads", read, injected, healed)
			assertAffected(t, "bookings", booked, injected, healed)
			now := d.Runs("booking")
			for _, r := range booked {
				over := r.at.Add(r.took).Before(healed)
				assert.Check(t, !over || now[r.key] == ran[r.key], "ran after its end, when the path was healed: %+v", r.answer)
			}
		})
	}
}
