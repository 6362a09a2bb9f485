package links

import "ebonyrouter.dev/core"

var _ core.Links = (*User)(nil)

// User is the view that one part of a process has of links that it shares with others.
type User struct {
	core.Links
	shared *Shared
	wanted map[string]bool
}

// Connect implements core.Links.Connect.
func (u *User) Connect(address string) {
	u.shared.mu.Lock()
	defer u.shared.mu.Unlock()
	if u.wanted[address] {
		return
	}
	u.wanted[address] = true
	u.shared.change(address, 1)
}

// Disconnect implements core.Links.Disconnect; the link stays open while another part wants it.
func (u *User) Disconnect(address string) {
	u.shared.mu.Lock()
	defer u.shared.mu.Unlock()
	if !u.wanted[address] {
		return
	}
	delete(u.wanted, address)
	u.shared.change(address, -1)
}
