package core

// Topics of lease changes and of the steer's advice about them.
const (
	// TopicLeaseAdvice carries LeaseAdvice from a steer to its entry process.
	TopicLeaseAdvice = "lease_advice"
	// TopicLeaseChange carries LeaseChange requests from an entry process to its steer.
	TopicLeaseChange = "lease_change"
)

// LeaseOutcome is what is known about a requested change of an ownership document.
type LeaseOutcome string

// Outcomes of a requested change.
const (
	// LeaseApplied means that the document contains the change.
	LeaseApplied LeaseOutcome = "applied"
	// LeaseRefused means that no write of this change took effect and none will.
	LeaseRefused LeaseOutcome = "refused"
	// LeaseUnknown means that a write of this change may still take effect.
	LeaseUnknown LeaseOutcome = "unknown"
)

// LeaseAdvice asks an entry process to release objects or to change the grantors that it has since epoch GrantorsFrom;
// empty fields ask nothing.
type LeaseAdvice struct {
	Epoch        int64        `json:"epoch" msgpack:"epoch"`
	Grantors     []GrantorRef `json:"grantors" msgpack:"grantors"`
	GrantorsFrom int64        `json:"grantors_from" msgpack:"grantors_from"`
	Incarnation  string       `json:"incarnation" msgpack:"incarnation"`
	Region       string       `json:"region" msgpack:"region"`
	Release      []string     `json:"release" msgpack:"release"`
}

// LeaseChange is a change of the ownership document that a member makes about itself.
type LeaseChange struct {
	// Grantors is the wanted set; the member has stopped counting the one it had since epoch GrantorsFrom.
	Grantors     []GrantorRef `json:"grantors" msgpack:"grantors"`
	GrantorsFrom int64        `json:"grantors_from" msgpack:"grantors_from"`
	Host         string       `json:"host" msgpack:"host"`
	Incarnation  string       `json:"incarnation" msgpack:"incarnation"`
	// Leave removes the member; Leaving only keeps it from getting more objects.
	Leave   bool   `json:"leave" msgpack:"leave"`
	Leaving bool   `json:"leaving" msgpack:"leaving"`
	Region  string `json:"region" msgpack:"region"`
	// Release maps each released object to the epoch since which the member has owned it, so that a repeated
	// request cannot release an object that the member got back in the meantime.
	Release map[string]int64 `json:"release" msgpack:"release"`
}

// LeaseChangeReply answers LeaseChange and MemberRevoke; StoreDown means that the store refused the write.
type LeaseChangeReply struct {
	Epoch     int64        `json:"epoch" msgpack:"epoch"`
	Outcome   LeaseOutcome `json:"outcome" msgpack:"outcome"`
	Reason    string       `json:"reason" msgpack:"reason"`
	StoreDown bool         `json:"store_down" msgpack:"store_down"`
}
