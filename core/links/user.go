package links

import "ebonyrouter.dev/core"

var _ core.Links = (*User)(nil)

// User is the core.Links of one component of a process that shares its links with others.
type User struct {
	core.Links
	shared    *Shared
	connected map[string]bool
}

// Connect implements core.Links.Connect.
func (u *User) Connect(address string) {
	u.shared.mu.Lock()
	defer u.shared.mu.Unlock()
	if u.connected[address] {
		return
	}
	u.connected[address] = true
	u.shared.addUsers(address, 1)
}

// Disconnect implements core.Links.Disconnect; the link stays open while another component uses it.
func (u *User) Disconnect(address string) {
	u.shared.mu.Lock()
	defer u.shared.mu.Unlock()
	if !u.connected[address] {
		return
	}
	delete(u.connected, address)
	u.shared.addUsers(address, -1)
}
