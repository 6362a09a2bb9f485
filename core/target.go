package core

import "time"

// TargetState is the lifecycle state that a target reports about itself.
type TargetState string

// States of a target.
const (
	// TargetReady means that the target accepts new requests.
	TargetReady TargetState = "ready"
	// TargetDraining means that the target finishes its requests and accepts no new ones.
	TargetDraining TargetState = "draining"
)

// Target is one upstream target from a registry. Address is an IP address with port.
type Target struct {
	Address string
	// ColdUntil is the local instant from which the target is warm.
	ColdUntil Instant
	ID        string
	Region    string
	// Sequence numbers the reports of the target since its start.
	Sequence int64
	Service  string
	Slots    int
	// StartedMs is the start time of the target in Unix milliseconds, or 0 if it is not known. It identifies the start.
	StartedMs int64
	State     TargetState
	Zone      string
}

// TargetList is the content of a registry at one version; it must not be modified.
type TargetList struct {
	// DrainedZones lists the availability zones whose targets get no new requests.
	DrainedZones map[string]bool
	Targets      []Target
	// Version increases with every change.
	Version int64
}

// SlotsPerRegion returns the mean number of slots per region, or 0 if the list is nil or empty.
func (l *TargetList) SlotsPerRegion() float64 {
	if l == nil || len(l.Targets) == 0 {
		return 0
	}
	regions, slots := map[string]bool{}, 0
	for i := range l.Targets {
		regions[l.Targets[i].Region] = true
		slots += l.Targets[i].Slots
	}
	return float64(slots) / float64(len(regions))
}

// TargetRegistry provides the targets that are currently registered.
type TargetRegistry interface {
	// Targets returns the newest list, or nil if none is known yet.
	Targets() *TargetList
}

// TargetLoad is the load that a target reports with a response.
type TargetLoad struct {
	Running int
	Slots   int
	Queued  int
	// TimePercent is how long work takes on the target's machine now, in percent of the usual time, or 0 if it is not known.
	TimePercent int
}

// Busy returns the number of running and queued requests.
func (l TargetLoad) Busy() int {
	return l.Running + l.Queued
}

// OlderThan reports whether t is an older report of the same target than other: it comes from an earlier start, or has a
// lower sequence number of the same start.
func (t *Target) OlderThan(other *Target) bool {
	if t.StartedMs != other.StartedMs {
		return t.StartedMs < other.StartedMs
	}
	return t.Sequence < other.Sequence
}

// ColdRemaining returns the time until the target is warm, or 0 if it is warm.
func (t *Target) ColdRemaining(now Instant) time.Duration {
	return max(0, t.ColdUntil.Sub(now))
}
