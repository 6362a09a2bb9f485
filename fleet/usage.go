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

// tick is the unit of processor times in /proc in seconds, which is fixed at 1/100 s on Linux.
const tick = 0.01

// Usage is the resources that a process has used until a moment, and its metrics.
type Usage struct {
	At time.Time
	// CPU is the user and system time in seconds.
	CPU     float64
	Metrics map[string]float64
	// RSS is the resident memory in bytes.
	RSS float64
}

func readUsage(ctx context.Context, pid int, admin string) (Usage, error) {
	u := Usage{At: time.Now()}
	var err error
	if u.Metrics, err = Metrics(ctx, admin); err != nil {
		return u, err
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, errors.Trace(err)
	}
	// The fields after the name in brackets start with number 3; 14 and 15 are user and system time.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	for _, f := range fields[11:13] {
		n, err := strconv.ParseFloat(f, 64)
		if err != nil {
			return u, errors.Trace(err)
		}
		u.CPU += n * tick
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return u, errors.Trace(err)
	}
	pages, err := strconv.ParseFloat(strings.Fields(string(statm))[1], 64)
	u.RSS = pages * float64(os.Getpagesize())
	return u, errors.Trace(err)
}
