package core

import "time"

// Timing of leases.
const (
	// LeaseTerm is the validity of one lease confirmation, counted from the instant just before it was requested.
	LeaseTerm = 3 * time.Second
	// LeaseRenewInterval is the time between two lease confirmations.
	LeaseRenewInterval = 500 * time.Millisecond
	// LeaseRevokeAfter is the time without a renewal after which a grantor starts to revoke a lease.
	LeaseRevokeAfter = 2 * time.Second
	// ClockDriftMargin is added to every wait for the lease of another host to expire.
	ClockDriftMargin = 100 * time.Millisecond
)

// Ownership is the document that lists the entry processes that are members of a region and the owner of each object.
type Ownership struct {
	ChangeID string                 `json:"change_id" msgpack:"change_id"`
	Epoch    int64                  `json:"epoch" msgpack:"epoch"`
	Members  map[string]Member      `json:"members" msgpack:"members"`
	Objects  map[string]ObjectOwner `json:"objects" msgpack:"objects"`
	Region   string                 `json:"region" msgpack:"region"`
}

// Member is one entry process of the region. Its Grantors confirm its lease and may revoke it; GrantorsFrom is the epoch
// at which this set of grantors was written.
type Member struct {
	Grantors     []GrantorRef `json:"grantors" msgpack:"grantors"`
	GrantorsFrom int64        `json:"grantors_from" msgpack:"grantors_from"`
	Host         string       `json:"host" msgpack:"host"`
	Incarnation  string       `json:"incarnation" msgpack:"incarnation"`
	Leaving      bool         `json:"leaving" msgpack:"leaving"`
}

// ObjectOwner is the owner of one object since an epoch. Revoked means that the previous owner did not release it.
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

// Lease limits the time for which an entry process may use the objects that it owns.
type Lease interface {
	// Owns returns the instant until which this process may use object, or false if it may not use it now.
	Owns(object string) (Instant, bool)
	// ValidUntil returns the instant until which requests that were admitted while this process owned object may continue,
	// even while it is being released, or 0 if the process does not own object or must still wait for the lease of its
	// previous owner to expire.
	ValidUntil(object string) Instant
}

// OwnershipView provides the newest known ownership document of each region.
type OwnershipView interface {
	// Owner returns the registration of the entry process that owns object in region, or false.
	Owner(region, object string) (Host, bool)
	// Stamp returns a value that changes whenever the results of Owner for region may change, so that callers can cache.
	Stamp(region string) OwnershipStamp
}

// OwnershipStamp identifies an ownership document and a list of hosts.
type OwnershipStamp struct {
	Epoch int64
	// First and Count identify the list of hosts, which is never modified.
	First *Host
	Count int
}

// LeaseRenew asks a grantor to confirm the lease of a member whose set of grantors was written at epoch GrantorsFrom.
// LeaseRenew and LeaseReply are encoded as arrays, because with field names the lease messages of an idle host took
// 950 B/s.
type LeaseRenew struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the msgpack package.

	Epoch        int64  `json:"epoch" msgpack:"epoch"`
	GrantorsFrom int64  `json:"grantors_from" msgpack:"grantors_from"`
	Host         string `json:"host" msgpack:"host"`
	Incarnation  string `json:"incarnation" msgpack:"incarnation"`
	Region       string `json:"region" msgpack:"region"`
}

// LeaseReply is the reply to LeaseRenew and to a lease confirmation through the store.
type LeaseReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the msgpack package.

	Confirmed bool   `json:"confirmed" msgpack:"confirmed"`
	Epoch     int64  `json:"epoch" msgpack:"epoch"`
	Reason    string `json:"reason" msgpack:"reason"`
}

// MemberRevoke asks the local steer to remove a member. Withdrawn lists the grantors of the member that have withdrawn.
type MemberRevoke struct {
	GrantorsFrom int64        `json:"grantors_from" msgpack:"grantors_from"`
	Host         string       `json:"host" msgpack:"host"`
	Incarnation  string       `json:"incarnation" msgpack:"incarnation"`
	Region       string       `json:"region" msgpack:"region"`
	Withdrawn    []GrantorRef `json:"withdrawn" msgpack:"withdrawn"`
}
