package core

import (
	"time"

	"ebonyrouter.dev/core/codes"
)

// EntryStaleAfter is the age above which the report of an entry process is stale. The process reports every 500 ms, so an older
// report means that it has stopped, is frozen or cannot reach its steer.
const EntryStaleAfter = 2 * time.Second

// HostStatus is the status of one host in the administration API.
type HostStatus struct {
	Answered bool `json:"answered" msgpack:"answered"`
	// Code is the reason why the status of the host is missing, or 0 if the host responded.
	Code  codes.Code  `json:"code,omitempty" msgpack:"code"`
	Entry EntryStatus `json:"entry" msgpack:"entry"`
	// EntryAgeMs is the time since the steer received Entry, or 0 if it has received none.
	EntryAgeMs    int64  `json:"entry_age_ms" msgpack:"entry_age_ms"`
	Host          string `json:"host" msgpack:"host"`
	SteerRevision int64  `json:"steer_revision" msgpack:"steer_revision"`
	StoreError    string `json:"store_error,omitempty" msgpack:"store_error"`
	Zone          string `json:"zone" msgpack:"zone"`
}

// Revision returns the lowest revision in force on the host, or false if the host did not respond. A stale entry report is
// ignored, because the process may have stopped; an entry process that has never reported counts as revision 0.
func (h *HostStatus) Revision() (int64, bool) {
	if h.Stale() {
		return h.SteerRevision, true
	}
	return min(h.SteerRevision, h.Entry.Revision), h.Answered
}

// Stale reports whether the host responded and the last report of its entry process is older than EntryStaleAfter.
func (h *HostStatus) Stale() bool {
	return h.Answered && time.Duration(h.EntryAgeMs)*time.Millisecond > EntryStaleAfter
}
