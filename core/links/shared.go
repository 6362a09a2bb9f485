package links

import (
	"sync"

	"ebonyrouter.dev/core"
)

// Shared lets several components of a process connect to addresses independently. It counts the components that use a
// link and closes the link with the last one.
type Shared struct {
	links core.Links
	mu    sync.Mutex
	users map[string]int
}

// NewShared returns a Shared over links.
func NewShared(links core.Links) *Shared {
	return &Shared{links: links, users: map[string]int{}}
}

// User returns the links for one more component.
func (s *Shared) User() *User {
	return &User{Links: s.links, shared: s, connected: map[string]bool{}}
}

// addUsers adds delta to the number of users of a link, and connects it or, without users, disconnects it; the caller holds
// the mutex.
func (s *Shared) addUsers(address string, delta int) {
	s.users[address] += delta
	switch {
	case s.users[address] > 0:
		s.links.Connect(address)
	default:
		delete(s.users, address)
		s.links.Disconnect(address)
	}
}
