package core

import (
	"math"

	"github.com/juju/errors"
)

// maxInFlightTargets bounds the targets of one report.
const maxInFlightTargets = 4096

// InFlight reports to other hosts how many requests a host has in flight at each target; it is a hint and grants no slots.
// Targets holds the hashes of the target IDs and Counts the numbers of requests in the same order; targets without a request
// are omitted. Rate is the recent rate of requests that the host receives, per second. Stopping means that the host has begun
// a planned stop.
type InFlight struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the msgpack package.

	Counts   []int    `json:"counts" msgpack:"counts"`
	Host     string   `json:"host" msgpack:"host"`
	Targets  []uint32 `json:"targets" msgpack:"targets"`
	Rate     float64  `json:"rate" msgpack:"rate"`
	Stopping bool     `json:"stopping" msgpack:"stopping"`
}

// Validate implements Validator.Validate.
func (f InFlight) Validate() error {
	if f.Host == "" {
		return errors.NotValidf("host: empty value")
	}
	if len(f.Targets) != len(f.Counts) || len(f.Targets) > maxInFlightTargets {
		return errors.NotValidf("%d targets with %d counts", len(f.Targets), len(f.Counts))
	}
	if !(f.Rate >= 0) || math.IsInf(f.Rate, 1) {
		return errors.NotValidf("rate: %v", f.Rate)
	}
	for i, n := range f.Counts {
		if n <= 0 {
			return errors.NotValidf("counts[%d]: %d", i, n)
		}
	}
	return nil
}

// TopicInFlight carries InFlight reports between entry hosts of a region.
const TopicInFlight = "in_flight"
