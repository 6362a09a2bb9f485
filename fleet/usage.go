package fleet

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// clockTickSeconds is the unit of CPU times in /proc, which is fixed at 1/100 s on Linux.
const clockTickSeconds = 0.01

// Usage is a sample of the resource usage and the metrics of a process.
type Usage struct {
	// SampledAt is the time at which sampling started.
	SampledAt time.Time
	// CPU is the user and system time in seconds since the process started.
	CPU float64
	// Metrics holds the values of the metrics by name including labels.
	Metrics map[string]float64
	// RSS is the resident memory in bytes.
	RSS float64
}

// readUsage reads the usage of a process from /proc and from the administration API at admin.
func readUsage(ctx context.Context, pid int, admin string) (Usage, error) {
	u := Usage{SampledAt: time.Now()}
	var err error
	if u.Metrics, err = Metrics(ctx, admin); err != nil {
		return u, err
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, errors.Trace(err)
	}
	// The fields after the name in parentheses start with number 3; 14 and 15 are user and system time.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	for _, f := range fields[11:13] {
		n, err := strconv.ParseFloat(f, 64)
		if err != nil {
			return u, errors.Trace(err)
		}
		u.CPU += n * clockTickSeconds
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return u, errors.Trace(err)
	}
	pages, err := strconv.ParseFloat(strings.Fields(string(statm))[1], 64)
	u.RSS = pages * float64(os.Getpagesize())
	return u, errors.Trace(err)
}
