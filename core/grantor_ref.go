package core

// GrantorRef names the process that confirms a lease: a host and the incarnation of its entry process.
type GrantorRef struct {
	Host        string `json:"host" msgpack:"host"`
	Incarnation string `json:"incarnation" msgpack:"incarnation"`
}
