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

// Process is one started program whose output is kept for the report of a failed test.
type Process struct {
	// Admin is the address of the administration API; processes that a Deployment did not start have none.
	Admin  string
	cmd    *exec.Cmd
	done   chan struct{}
	name   string
	output lockedBuffer
	t      T
}

// Kill ends the process at once, also when it is frozen.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Output returns what the process has written so far on both streams.
func (p *Process) Output() string {
	return p.output.String()
}

// Signal sends a signal such as SIGSTOP; the error is that of a process that has ended.
func (p *Process) Signal(s syscall.Signal) error {
	return p.cmd.Process.Signal(s)
}

// Stop asks for a graceful stop and returns how long it took; the test fails if it takes longer than within.
func (p *Process) Stop(within time.Duration) time.Duration {
	p.t.Helper()
	started := time.Now()
	check(p.t, p.Signal(syscall.SIGTERM))
	select {
	case <-p.done:
	case <-time.After(within):
		p.t.Errorf("%s did not stop within %v", p.name, within)
	}
	return time.Since(started)
}

// Usage returns the resources that the process has used and its metrics, from /proc and its administration API.
func (p *Process) Usage(ctx context.Context) (Usage, error) {
	return readUsage(ctx, p.cmd.Process.Pid, p.Admin)
}

// ended reports whether the process has ended.
func (p *Process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// lastOutput returns up to size bytes from the end of what the process has written.
func (p *Process) lastOutput(size int) string {
	text := p.Output()
	return text[max(0, len(text)-size):]
}

// end kills the process and keeps its log, which go test -artifacts does not remove.
func (p *Process) end() {
	p.Kill()
	// A host that restarts has several logs of the same name.
	file := fmt.Sprintf("%s-%d.log", strings.ReplaceAll(p.name, " ", "-"), p.cmd.Process.Pid)
	_ = os.WriteFile(filepath.Join(p.t.ArtifactDir(), file), []byte(p.Output()), 0o600)
}
