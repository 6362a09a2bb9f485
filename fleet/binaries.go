package fleet

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/juju/errors"
)

// modulePrefix precedes the name of a program in its module path.
const modulePrefix = "ebonyrouter.dev/"

// Binaries is the path of a directory with compiled programs.
type Binaries string

// Build compiles programs of the workspace into dir. An error includes the output of the compiler.
func Build(dir string, programs ...string) (Binaries, error) {
	b := Binaries(dir)
	for _, p := range programs {
		out, err := exec.CommandContext(context.Background(), "go", "build", "-o", b.Path(p), modulePrefix+p).CombinedOutput()
		if err != nil {
			return "", errors.Annotatef(err, "build %s: %s", p, out)
		}
	}
	return b, nil
}

// Path returns the path of the executable of a program.
func (b Binaries) Path(program string) string {
	return filepath.Join(string(b), program)
}

// Start runs a program until the test ends. The name identifies the process in messages and names its log among the test
// artifacts.
func (b Binaries) Start(t T, name, program string, args ...string) *Process {
	t.Helper()
	p := b.command(t, name, program, args)
	p.cmd.Stdout = &p.output
	p.cmd.Stderr = &p.output
	p.start()
	return p
}

// StartUnread is Start for a program whose output nobody reads, so that its writes block once a pipe is full. It lacks an Output.
func (b Binaries) StartUnread(t T, name, program string, args ...string) *Process {
	t.Helper()
	reader, writer, err := os.Pipe()
	check(t, err)
	t.Cleanup(func() { _ = reader.Close() })
	p := b.command(t, name, program, args)
	p.cmd.Stdout, p.cmd.Stderr = writer, writer
	p.start()
	check(t, writer.Close())
	return p
}

// command returns a program that is not started yet.
func (b Binaries) command(t T, name, program string, args []string) *Process {
	return &Process{cmd: exec.CommandContext(context.Background(), b.Path(program), args...), done: make(chan struct{}), name: name, t: t}
}
