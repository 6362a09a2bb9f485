package core

// TopicLeaseWithdrawn carries LeaseWithdrawn between the grantors of a member, and to the member and its steer.
const TopicLeaseWithdrawn = "lease_withdrawn"

// LeaseWithdrawn states that Grantor never again confirms leases of the member for the set of grantors written at epoch
// GrantorsFrom.
type LeaseWithdrawn struct {
	Grantor      GrantorRef `json:"grantor" msgpack:"grantor"`
	GrantorsFrom int64      `json:"grantors_from" msgpack:"grantors_from"`
	Host         string     `json:"host" msgpack:"host"`
	Incarnation  string     `json:"incarnation" msgpack:"incarnation"`
	Region       string     `json:"region" msgpack:"region"`
}
