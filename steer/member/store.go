package member

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
)

const (
	// KeyPlatformPrefix is the key prefix of the platform's list of hosts, which lags behind the actual state.
	KeyPlatformPrefix = "platform/hosts/"
	// refreshInterval is the time between two checks that this host's registration is still in the store.
	refreshInterval = 10 * time.Minute
	// retryDelay is the delay before a failed call is retried.
	retryDelay = time.Second
	// removeAfter is how long a host must be suspected before its registration is removed.
	removeAfter = time.Hour
)

// RemoveDeparted removes the registrations of hosts of this zone that have been suspected for removeAfter and that the
// platform does not list. It does not revoke their leases; their grantors do.
func (m *Members) RemoveDeparted(ctx context.Context) error {
	objects, err := m.store.List(ctx, KeyPlatformPrefix)
	if err != nil {
		return err
	}
	if len(objects) == 0 {
		return nil
	}
	listed := map[string]bool{}
	for _, o := range objects {
		listed[strings.TrimPrefix(o.Key, KeyPlatformPrefix)] = true
	}
	m.mu.Lock()
	departed := map[string]int64{}
	now := m.timer.Now()
	for name, e := range m.table.registrations {
		since, ok := m.table.suspectedSince[name]
		if ok && now.Sub(since) >= removeAfter && !listed[name] && e.host.Zone == m.table.self.Zone {
			departed[name] = e.version
		}
	}
	m.mu.Unlock()
	for name, version := range departed {
		if err := m.store.Delete(ctx, core.KeyHostsPrefix+name, version); err != nil && !errors.Is(err, core.ErrConflict) {
			return err
		}
		event.MemberRemoved.Write(m.log, zap.String("host", name))
	}
	return nil
}

// adopt applies objects read from the store. complete means that registrations missing from objects were removed.
func (m *Members) adopt(objects []core.Object, complete bool, version int64) {
	var changes []core.HostChange
	listed := map[string]bool{}
	for _, o := range objects {
		name := strings.TrimPrefix(o.Key, core.KeyHostsPrefix)
		c := core.HostChange{Deleted: o.Deleted, Host: core.Host{Host: name}, Version: o.Version}
		if !o.Deleted {
			// An unreadable registration is skipped; its host has to write it again.
			if json.Unmarshal(o.Value, &c.Host) != nil || c.Host.Host != name {
				continue
			}
		}
		listed[name] = true
		changes = append(changes, c)
		version = max(version, o.Version)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.timer.Now()
	if complete {
		for name, e := range m.table.registrations {
			if !listed[name] && e.version > 0 && e.version <= version {
				changes = append(changes, core.HostChange{Deleted: true, Host: core.Host{Host: name}, Version: max(version, e.version+1)})
			}
		}
		m.caughtUpAt = now
	}
	m.table.apply(changes, now)
	m.table.version = max(m.table.version, version)
}

// firstRelay reports whether this host is the first relay of its zone.
func (m *Members) firstRelay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	relays := m.table.topology().relays[m.table.self.Zone]
	return m.table.relaying && len(relays) > 0 && relays[0] == m.table.self.Host
}

// poll reads all registrations from the store.
func (m *Members) poll(ctx context.Context) {
	objects, err := m.store.List(ctx, core.KeyHostsPrefix)
	if err != nil {
		event.MemberStoreError.Write(m.log, zap.Error(err))
		return
	}
	m.adopt(objects, true, 0)
	wake(m.urgent)
}

// register writes this host's registration when it has changed or is missing. The first relay of the zone also calls
// RemoveDeparted.
func (m *Members) register(ctx context.Context) {
	for {
		wait := refreshInterval
		if err := m.writeRegistration(ctx); err != nil {
			event.MemberStoreError.Write(m.log, zap.Error(err))
			wait = retryDelay
		} else if m.firstRelay() {
			if err := m.RemoveDeparted(ctx); err != nil {
				event.MemberStoreError.Write(m.log, zap.Error(err))
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-m.registrationChanged:
		case <-m.timer.After(wait):
		}
	}
}

// watch adopts changes of the registrations in the store while this host is a relay.
func (m *Members) watch(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		relaying, version := m.table.relaying, m.table.version
		m.mu.Unlock()
		wait := retryDelay
		if relaying {
			objects, next, err := m.store.Watch(ctx, core.KeyHostsPrefix, version)
			if err == nil {
				m.adopt(objects, false, next)
				wake(m.urgent)
				wait = 0
			} else if ctx.Err() == nil {
				event.MemberStoreError.Write(m.log, zap.Error(err))
			}
		}
		if wait > 0 {
			select {
			case <-ctx.Done():
			case <-m.timer.After(wait):
			}
		}
	}
}

// writeRegistration ensures that the store contains this host's registration. It reads first, so that a write whose
// response was lost is not repeated.
func (m *Members) writeRegistration(ctx context.Context) error {
	m.mu.Lock()
	self := m.table.self
	m.mu.Unlock()
	key := core.KeyHostsPrefix + self.Host
	object, err := m.store.Get(ctx, key)
	if err != nil && !errors.Is(err, core.ErrNotFound) {
		return err
	}
	var written core.Host
	if err == nil && json.Unmarshal(object.Value, &written) == nil && written == self {
		m.recordWritten(self, object.Version)
		return nil
	}
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	version, err := m.store.Put(ctx, key, value, object.Version)
	if err != nil {
		return err
	}
	m.recordWritten(self, version)
	event.MemberRegistered.Write(m.log, zap.String("host", self.Host), zap.String("state", string(self.State)))
	return nil
}

// recordWritten records that the store contains the registration self at version.
func (m *Members) recordWritten(self core.Host, version int64) {
	m.mu.Lock()
	m.table.apply([]core.HostChange{{Host: self, Version: version}}, m.timer.Now())
	m.mu.Unlock()
	m.onWritten(self)
}
