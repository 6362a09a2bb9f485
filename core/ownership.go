package core

import "time"

// Timing of leases.
const (
	// LeaseTerm is the validity of one lease confirmation, counted from before it was requested.
	LeaseTerm = 3 * time.Second
	// LeaseRenewInterval is the time between two lease confirmations.
	LeaseRenewInterval = 500 * time.Millisecond
	// LeaseRevokeAfter is the silence after which a grantor starts to revoke a lease.
	LeaseRevokeAfter = 2 * time.Second
	// ClockDriftMargin is added to every wait for another host's lease to end.
	ClockDriftMargin = 100 * time.Millisecond
)

// Ownership is the document that names the member entry processes of a region and the owner of every limited object.
type Ownership struct {
	ChangeID string                 `json:"change_id" msgpack:"change_id"`
	Epoch    int64                  `json:"epoch" msgpack:"epoch"`
	Members  map[string]Member      `json:"members" msgpack:"members"`
	Objects  map[string]ObjectOwner `json:"objects" msgpack:"objects"`
	Region   string                 `json:"region" msgpack:"region"`
}

// Member is one entry process of the region; Grantors confirm its lease and may revoke it. GrantorsFrom is the epoch at
// which this set of grantors was written.
type Member struct {
	Grantors     []GrantorRef `json:"grantors" msgpack:"grantors"`
	GrantorsFrom int64        `json:"grantors_from" msgpack:"grantors_from"`
	Host         string       `json:"host" msgpack:"host"`
	Incarnation  string       `json:"incarnation" msgpack:"incarnation"`
	Leaving      bool         `json:"leaving" msgpack:"leaving"`
}

// ObjectOwner names the owner of one object since an epoch; Revoked means that the previous owner did not release it.
type ObjectOwner struct {
	Host        string `json:"host" msgpack:"host"`
	Incarnation string `json:"incarnation" msgpack:"incarnation"`
	Revoked     bool   `json:"revoked" msgpack:"revoked"`
	Since       int64  `json:"since" msgpack:"since"`
}

// TargetObject returns the ownership key of a target.
func TargetObject(service, target string) string {
	return "target/" + service + "/" + target
}

// ShiftObject returns the ownership key of the shift cap of a service between two regions.
func ShiftObject(service, from, to string) string {
	return "shift/" + service + "/" + from + "/" + to
}

// Lease tells an entry process until when it may use the objects it owns.
type Lease interface {
	// Owns returns the instant until which this process may use object, or false if it may not use it now.
	Owns(object string) (Instant, bool)
	// ValidUntil returns the instant until which requests that were admitted while this process owned object may go on,
	// also while it is being released, or 0 if it does not hold object.
	ValidUntil(object string) Instant
}

// OwnershipView is the newest ownership document of each region that a process knows.
type OwnershipView interface {
	// Owner returns the registration of the entry process that owns object in region, or false.
	Owner(region, object string) (Host, bool)
	// Stamp returns what Owner's results for region depend on; they are the same while it stays equal.
	Stamp(region string) OwnershipStamp
}

// OwnershipStamp identifies an ownership document and a list of hosts.
type OwnershipStamp struct {
	Epoch int64
	// First and Count identify the list of hosts, which is never modified.
	First *Host
	Count int
}

// LeaseRenew asks a grantor to confirm a lease of the member with the grantors that were written at GrantorsFrom.
// It and LeaseReply are encoded as arrays: with field names leases were 950 B/s of an idle host.
type LeaseRenew struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the msgpack package.

	Epoch        int64  `json:"epoch" msgpack:"epoch"`
	GrantorsFrom int64  `json:"grantors_from" msgpack:"grantors_from"`
	Host         string `json:"host" msgpack:"host"`
	Incarnation  string `json:"incarnation" msgpack:"incarnation"`
	Region       string `json:"region" msgpack:"region"`
}

// LeaseReply is the answer to LeaseRenew and to a lease confirmation through the store.
type LeaseReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the msgpack package.

	Confirmed bool   `json:"confirmed" msgpack:"confirmed"`
	Epoch     int64  `json:"epoch" msgpack:"epoch"`
	Reason    string `json:"reason" msgpack:"reason"`
}

// MemberRevoke asks the local steer to remove a member; Withdrawn names the grantors of its set that have withdrawn.
type MemberRevoke struct {
	GrantorsFrom int64        `json:"grantors_from" msgpack:"grantors_from"`
	Host         string       `json:"host" msgpack:"host"`
	Incarnation  string       `json:"incarnation" msgpack:"incarnation"`
	Region       string       `json:"region" msgpack:"region"`
	Withdrawn    []GrantorRef `json:"withdrawn" msgpack:"withdrawn"`
}
