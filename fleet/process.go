package fleet

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Process is a started program. Its output is kept in memory and written to the test artifacts when the test ends.
type Process struct {
	// AdminAddress is the address of the administration API. It is empty unless a Deployment started the process for a host.
	AdminAddress string
	cmd          *exec.Cmd
	done         chan struct{} // closed when the process has exited
	name         string
	output       lockedBuffer
	t            T
}

// Kill kills the process with SIGKILL, which also ends a stopped one, and waits until it has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Output returns what the process has written to standard output and standard error so far.
func (p *Process) Output() string {
	return p.output.String()
}

// Signal sends a signal to the process. It returns an error if the process has exited.
func (p *Process) Signal(s syscall.Signal) error {
	return p.cmd.Process.Signal(s)
}

// Stop sends SIGTERM, waits until the process exits and returns the elapsed time. It marks the test as failed
// and returns if the process still runs after timeout.
func (p *Process) Stop(timeout time.Duration) time.Duration {
	p.t.Helper()
	started := time.Now()
	check(p.t, p.Signal(syscall.SIGTERM))
	select {
	case <-p.done:
	case <-time.After(timeout):
		p.t.Errorf("%s did not stop within %v", p.name, timeout)
	}
	return time.Since(started)
}

// Usage reads the CPU time and memory of the process from /proc and its metrics from its administration API.
func (p *Process) Usage(ctx context.Context) (Usage, error) {
	return readUsage(ctx, p.cmd.Process.Pid, p.AdminAddress)
}

// exited reports whether the process has exited.
func (p *Process) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// lastOutput returns the last size bytes of the output.
func (p *Process) lastOutput(size int) string {
	text := p.Output()
	return text[max(0, len(text)-size):]
}

// start runs the process until the test ends.
func (p *Process) start() {
	p.t.Helper()
	check(p.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	p.t.Cleanup(p.killAndSaveLog)
}

// killAndSaveLog kills the process and writes its output to the artifact directory, which go test -artifacts keeps.
func (p *Process) killAndSaveLog() {
	p.Kill()
	// The process ID keeps the logs of a restarted process apart.
	file := fmt.Sprintf("%s-%d.log", strings.ReplaceAll(p.name, " ", "-"), p.cmd.Process.Pid)
	_ = os.WriteFile(filepath.Join(p.t.ArtifactDir(), file), []byte(p.Output()), 0o600)
}
