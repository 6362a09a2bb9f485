package links

import (
	"sync"

	"ebonyrouter.dev/core"
)

// Shared lets several parts of a process connect to addresses independently: a link is closed when no part wants it any
// more.
type Shared struct {
	links core.Links
	mu    sync.Mutex
	users map[string]int
}

// NewShared returns links that several parts share.
func NewShared(links core.Links) *Shared {
	return &Shared{links: links, users: map[string]int{}}
}

// User returns the links as one more part sees them.
func (s *Shared) User() *User {
	return &User{Links: s.links, shared: s, wanted: map[string]bool{}}
}

// change counts a part that starts or stops to want a link.
func (s *Shared) change(address string, by int) {
	s.users[address] += by
	switch {
	case s.users[address] > 0:
		s.links.Connect(address)
	default:
		delete(s.users, address)
		s.links.Disconnect(address)
	}
}
