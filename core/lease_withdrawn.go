package core

// TopicLeaseWithdrawn carries LeaseWithdrawn between the grantors of a member, and to the member and its steer.
const TopicLeaseWithdrawn = "lease_withdrawn"

// LeaseWithdrawn says that Grantor will never again confirm the member with the set written at epoch GrantorsFrom.
type LeaseWithdrawn struct {
	Grantor      GrantorRef `json:"grantor" msgpack:"grantor"`
	GrantorsFrom int64      `json:"grantors_from" msgpack:"grantors_from"`
	Host         string     `json:"host" msgpack:"host"`
	Incarnation  string     `json:"incarnation" msgpack:"incarnation"`
	Region       string     `json:"region" msgpack:"region"`
}
