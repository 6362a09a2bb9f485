package core

// Topics of lease changes and of the steer's advice about them.
const (
	// TopicLeaseAdvice carries LeaseAdvice from a steer to its entry process.
	TopicLeaseAdvice = "lease_advice"
	// TopicLeaseChange carries LeaseChange requests from an entry process to its steer.
	TopicLeaseChange = "lease_change"
)

// LeaseOutcome is the result of a requested change of an ownership document.
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

// LeaseAdvice asks an entry process to release objects or to change the set of grantors written at epoch GrantorsFrom;
// empty fields request nothing.
type LeaseAdvice struct {
	Epoch        int64        `json:"epoch" msgpack:"epoch"`
	Grantors     []GrantorRef `json:"grantors" msgpack:"grantors"`
	GrantorsFrom int64        `json:"grantors_from" msgpack:"grantors_from"`
	Incarnation  string       `json:"incarnation" msgpack:"incarnation"`
	Region       string       `json:"region" msgpack:"region"`
	Release      []string     `json:"release" msgpack:"release"`
}

// LeaseChange is a change to a member's own entries in the ownership document.
type LeaseChange struct {
	// Grantors is the requested set; the member has stopped counting confirmations of the set written at GrantorsFrom.
	Grantors     []GrantorRef `json:"grantors" msgpack:"grantors"`
	GrantorsFrom int64        `json:"grantors_from" msgpack:"grantors_from"`
	Host         string       `json:"host" msgpack:"host"`
	Incarnation  string       `json:"incarnation" msgpack:"incarnation"`
	// Leave removes the member; Leaving only prevents it from being assigned more objects.
	Leave   bool   `json:"leave" msgpack:"leave"`
	Leaving bool   `json:"leaving" msgpack:"leaving"`
	Region  string `json:"region" msgpack:"region"`
	// Release maps each released object to the epoch since which the member has owned it, so that a repeated
	// request cannot release an object that the member has acquired again in the meantime.
	Release map[string]int64 `json:"release" msgpack:"release"`
}

// LeaseChangeReply is the reply to LeaseChange and MemberRevoke. StoreDown means that the store refused the write.
type LeaseChangeReply struct {
	Epoch     int64        `json:"epoch" msgpack:"epoch"`
	Outcome   LeaseOutcome `json:"outcome" msgpack:"outcome"`
	Reason    string       `json:"reason" msgpack:"reason"`
	StoreDown bool         `json:"store_down" msgpack:"store_down"`
}
