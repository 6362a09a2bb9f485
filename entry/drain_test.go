package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// freeAddress returns an address with a currently unused port. Links advertise their address, so the port must be known
// in advance.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// Guards against a stop that interrupts requests but reports success, a graceful stop that reports an error, and a second
// signal that does not end the stop before its time limit.
func TestStopReportsInterruptedRequests(t *testing.T) {
	for name, tc := range map[string]struct {
		busy bool
		want string
	}{
		"idle":      {false, ""},
		"in flight": {true, "stopped with 1 requests in flight (code 8006)"},
	} {
		t.Run(name, func(t *testing.T) {
			address := "127.0.0.1:0"
			parsed, err := parseOptions([]string{
				"-admin-address", address, "-caller-address", address, "-host", "h", "-link-address", freeAddress(t), "-region", "r",
				"-relay-address", address, "-steer-address", "127.0.0.1:1", "-store", "127.0.0.1:1", "-token", "t", "-zone", "z",
			})
			assert.NilError(t, err)
			p, err := newProcess(parsed.(options), zap.NewNop())
			assert.NilError(t, err)
			entered, interrupted := make(chan struct{}), make(chan struct{})
			p.gate.next = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				close(entered)
				<-r.Context().Done()
				close(interrupted)
			})
			signals := make(chan os.Signal, 2)
			result := make(chan error, 1)
			go func() { result <- p.serve(context.Background(), signals) }()
			if tc.busy {
				go func() {
					r, err := http.Get("http://" + p.callerListener.Addr().String())
					if err == nil {
						_ = r.Body.Close()
					}
				}()
				<-entered
			}
			signals <- syscall.SIGTERM
			if tc.busy {
				time.Sleep(2 * drainInterval)
				signals <- syscall.SIGTERM
			}
			select {
			case err = <-result:
			case <-time.After(minDrainGrace / 2):
				t.Fatal("the second signal did not end the stop")
			}
			if tc.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.Error(t, err, tc.want)
			<-interrupted
		})
	}
}
