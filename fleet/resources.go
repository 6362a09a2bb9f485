package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// kibibyte is the unit of the sizes in /proc/PID/status, in bytes.
const kibibyte = 1 << 10

// PeakRSS returns the largest resident memory of the process since its start in bytes, from /proc. It returns an error if the
// process has exited.
func (p *Process) PeakRSS() (int64, error) {
	return p.status("VmHWM:")
}

// RSS returns the resident memory of the process in bytes, from /proc. It returns an error if the process has exited.
func (p *Process) RSS() (int64, error) {
	return p.status("VmRSS:")
}

// status returns a size from the status of the process in bytes.
func (p *Process) status(name string) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, errors.Trace(err)
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, name); found {
			n, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return n * kibibyte, errors.Trace(err)
		}
	}
	return 0, errors.New("the process has exited")
}

// OpenDescriptors returns the number of open descriptors of the process, from /proc. It returns an error if the process has
// exited.
func (p *Process) OpenDescriptors() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(entries), errors.Trace(err)
}
