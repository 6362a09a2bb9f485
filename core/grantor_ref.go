package core

// GrantorRef identifies a process that confirms leases by its host and the incarnation of its entry process.
type GrantorRef struct {
	Host        string `json:"host" msgpack:"host"`
	Incarnation string `json:"incarnation" msgpack:"incarnation"`
}
