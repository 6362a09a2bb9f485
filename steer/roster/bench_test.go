package roster_test

import (
	"fmt"
	"testing"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/timer"
	"ebonyrouter.dev/steer/roster"
)

// allAlive reports every peer as alive.
type allAlive struct{}

func (allAlive) Alive(string) bool { return true }
func (allAlive) Connect(string)    {}
func (allAlive) Disconnect(string) {}

// BenchmarkResolve measures a lookup at the sizes of the deployments and at the design size, with five regions of two
// availability zones each.
func BenchmarkResolve(b *testing.B) {
	for _, size := range []int{10, 86, 690} {
		b.Run(fmt.Sprintf("hosts=%d", size), func(b *testing.B) {
			var hosts []core.Host
			for n := range size {
				h := host(fmt.Sprint("h", n), fmt.Sprint("r", n%5), fmt.Sprint("z", n%10))
				h.Capacity = 0.16
				hosts = append(hosts, h)
			}
			r := roster.New(hosts[0], allAlive{}, timer.NewManual(), zap.NewNop())
			r.Reset(hosts)
			r.RecordRate("h0", 400)
			b.ReportAllocs()
			for b.Loop() {
				if len(r.Resolve("r0", "z0")) == 0 {
					b.Fatal("no host")
				}
			}
		})
	}
}
