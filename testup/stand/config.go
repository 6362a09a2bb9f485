package stand

import (
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Config holds the settings that all targets of a process share. The targets report Connections and Slots as their limits
// and do not enforce them.
type Config struct {
	// AcceptTime is the time that it takes to accept one connection; connections are accepted one after the other.
	AcceptTime  time.Duration
	BodyBytes   int
	Connections int
	// Exponential draws service times from an exponential distribution with the mean ServiceTime.
	Exponential bool
	Ports       []int
	ServiceTime time.Duration
	Slots       int
}

// maxPorts limits the number of targets of one process.
const maxPorts = 1000

// ParsePorts parses a list of ports and ranges such as 9001-9012,9100; port 0 means any free port.
func ParsePorts(text string) ([]int, error) {
	var ports []int
	for part := range strings.SplitSeq(text, ",") {
		from, to, isRange := strings.Cut(strings.TrimSpace(part), "-")
		if !isRange {
			to = from
		}
		first, err := strconv.ParseUint(from, 10, 16)
		if err != nil {
			return nil, errors.Annotatef(err, "port %q", part)
		}
		last, err := strconv.ParseUint(to, 10, 16)
		if err != nil {
			return nil, errors.Annotatef(err, "port %q", part)
		}
		for port := first; port <= last; port++ {
			ports = append(ports, int(port))
		}
	}
	if len(ports) == 0 || len(ports) > maxPorts {
		return nil, errors.Errorf("%q names %d ports, want 1 to %d", text, len(ports), maxPorts)
	}
	return ports, nil
}
