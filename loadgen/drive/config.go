package drive

import (
	"net/netip"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Modes of sending requests.
const (
	// ModeDirect pins each worker to one target.
	ModeDirect = "direct"
	// ModeRoundRobin sends to the targets in turn, without respecting their limits.
	ModeRoundRobin = "roundrobin"
	// ModeSystem looks up the service and sends to the entry hosts in the order of the lookup.
	ModeSystem = "system"
)

const (
	// maxConcurrency limits the requests in flight.
	maxConcurrency = 10000
	// maxDuration limits the duration of each mode.
	maxDuration = 10 * time.Minute
	// maxRate limits the offered load, in requests per second.
	maxRate = 200000
)

// Config describes one experiment. Rate is the offered load of an open loop in requests per second; 0 is a closed loop. Entries
// are the addresses of entry hosts for ModeSystem, and Targets those of upstream targets for the other modes.
type Config struct {
	BodyBytes   int
	Client      string
	Concurrency int
	Deadline    time.Duration
	Duration    time.Duration
	Entries     []string
	Keyed       bool
	Method      string
	Path        string
	Rate        float64
	Service     string
	Targets     []string
	Tenant      string
}

// Validate returns an error if the load exceeds the limits or an address is not a loopback address.
func (c *Config) Validate() error {
	switch {
	case c.Concurrency < 1 || c.Concurrency > maxConcurrency:
		return errors.Errorf("concurrency %d is not between 1 and %d", c.Concurrency, maxConcurrency)
	case c.Duration <= 0 || c.Duration > maxDuration:
		return errors.Errorf("duration %v is not between 0 and %v", c.Duration, maxDuration)
	case c.Rate < 0 || c.Rate > maxRate:
		return errors.Errorf("rate %v is not between 0 and %d", c.Rate, maxRate)
	case c.Deadline <= 0:
		return errors.Errorf("deadline %v is not positive", c.Deadline)
	}
	for _, address := range append(append([]string{}, c.Entries...), c.Targets...) {
		err := CheckLoopback(address)
		if err != nil {
			return err
		}
	}
	return nil
}

// CheckLoopback returns an error unless address is a loopback IP address with a port.
func CheckLoopback(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Annotatef(err, "address %q", address)
	}
	if !parsed.Addr().Unmap().IsLoopback() {
		return errors.Errorf("address %q is not a loopback address", address)
	}
	return nil
}

// SplitList splits a comma-separated list, trims its items and drops empty ones.
func SplitList(text string) []string {
	var list []string
	for part := range strings.SplitSeq(text, ",") {
		part = strings.TrimSpace(part)
		if part != "" {
			list = append(list, part)
		}
	}
	return list
}
