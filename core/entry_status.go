package core

// EntryStatus is the status that an entry process reports to the steer of its host. Epoch is that of the newest ownership
// document of its region, InUse counts the in-flight requests of each owned object, and LeaseMs is the remaining validity of
// the lease, or 0 if the process owns no object.
type EntryStatus struct {
	Epoch        int64          `json:"epoch" msgpack:"epoch"`
	InFlight     int            `json:"in_flight" msgpack:"in_flight"`
	InUse        map[string]int `json:"in_use" msgpack:"in_use"`
	LeaseMs      int64          `json:"lease_ms" msgpack:"lease_ms"`
	Owned        []string       `json:"owned" msgpack:"owned"`
	Registration Host           `json:"registration" msgpack:"registration"`
	Revision     int64          `json:"revision" msgpack:"revision"`
}
