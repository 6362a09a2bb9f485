package core

import (
	"time"

	"ebonyrouter.dev/core/codes"
)

// EntryStale is the age above which the report of an entry process says nothing about the present: the process reports
// every 500 ms, so it has ended, is frozen or is cut off from its steer.
const EntryStale = 2 * time.Second

// HostStatus is the status of one host as the administration API shows it.
type HostStatus struct {
	Answered bool `json:"answered" msgpack:"answered"`
	// Code says why a host has no status, 0 if it answered.
	Code          codes.Code  `json:"code,omitempty" msgpack:"code"`
	Entry         EntryStatus `json:"entry" msgpack:"entry"`
	EntryAgeMs    int64       `json:"entry_age_ms" msgpack:"entry_age_ms"`
	Host          string      `json:"host" msgpack:"host"`
	SteerRevision int64       `json:"steer_revision" msgpack:"steer_revision"`
	StoreError    string      `json:"store_error,omitempty" msgpack:"store_error"`
	Zone          string      `json:"zone" msgpack:"zone"`
}

// Revision returns the lowest revision in force on the host, or false for a host that did not answer. A stale report
// does not count, because its process may have ended; an entry process that never reported has none in force.
func (h *HostStatus) Revision() (int64, bool) {
	if h.Stale() {
		return h.SteerRevision, true
	}
	return min(h.SteerRevision, h.Entry.Revision), h.Answered
}

// Stale reports whether the host answered and the last report of its entry process is older than EntryStale.
func (h *HostStatus) Stale() bool {
	return h.Answered && time.Duration(h.EntryAgeMs)*time.Millisecond > EntryStale
}
