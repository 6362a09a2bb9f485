package core

// GrantorRef identifies a lease grantor by its host and the incarnation of its entry process.
type GrantorRef struct {
	Host        string `json:"host" msgpack:"host"`
	Incarnation string `json:"incarnation" msgpack:"incarnation"`
}
