package member

import (
	"slices"

	"ebonyrouter.dev/core"
)

// Register replaces the registration of this host with the one that its entry process reports. Host, region,
// availability zone and steer address cannot change.
func (m *Members) Register(self core.Host) {
	m.mu.Lock()
	old := m.table.self
	self.Host, self.Region, self.Zone, self.SteerAddress = old.Host, old.Region, old.Zone, old.SteerAddress
	changed := self != old
	if changed {
		m.table.setSelf(self)
	}
	m.mu.Unlock()
	if !changed {
		return
	}
	m.publish()
	wake(m.registrationChanged)
}

// IsRelay reports whether this host is a relay, which watches the store for its availability zone.
func (m *Members) IsRelay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.topology().isRelay(m.table.self)
}

// RelayAddresses returns the link addresses of the other relays of this host's availability zone.
func (m *Members) RelayAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []string
	for _, name := range m.table.topology().relays[m.table.self.Zone] {
		if address := m.table.registrations[name].host.SteerAddress; name != m.table.self.Host && address != "" {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}
