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
	// KeyPlatformPrefix is the prefix of the platform's own list of hosts, which lags.
	KeyPlatformPrefix = "platform/hosts/"
	// refreshInterval is the time between two checks that the own registration is still in the store.
	refreshInterval = 10 * time.Minute
	// retryInterval is the time before a failed call is repeated.
	retryInterval = time.Second
	// forgetAfter is the time for which a host must be suspected before its registration is removed.
	forgetAfter = time.Hour
)

// Forget removes the registrations of hosts that this relay has suspected for forgetAfter and that the platform does
// not list. It takes no permission from them: those are revoked by their grantors.
func (m *Members) Forget(ctx context.Context) error {
	objects, err := m.store.List(ctx, KeyPlatformPrefix)
	if err != nil {
		return err
	}
	if len(objects) == 0 {
		return nil
	}
	live := map[string]bool{}
	for _, o := range objects {
		live[strings.TrimPrefix(o.Key, KeyPlatformPrefix)] = true
	}
	m.mu.Lock()
	gone := map[string]int64{}
	now := m.timer.Now()
	for name, e := range m.table.entries {
		since, ok := m.table.suspectedSince[name]
		if ok && now.Sub(since) >= forgetAfter && !live[name] && e.host.Zone == m.table.self.Zone {
			gone[name] = e.version
		}
	}
	m.mu.Unlock()
	for name, version := range gone {
		if err := m.store.Delete(ctx, core.KeyHostsPrefix+name, version); err != nil && !errors.Is(err, core.ErrConflict) {
			return err
		}
		event.MemberForgotten.Write(m.log, zap.String("host", name))
	}
	return nil
}

// adopt takes over objects of the store; complete means that hosts which are missing were removed.
func (m *Members) adopt(objects []core.Object, complete bool, version int64) {
	var changes []core.HostChange
	listed := map[string]bool{}
	for _, o := range objects {
		name := strings.TrimPrefix(o.Key, core.KeyHostsPrefix)
		c := core.HostChange{Deleted: o.Deleted, Host: core.Host{Host: name}, Version: o.Version}
		if !o.Deleted {
			// A registration that cannot be read is left out; its host has to write it again.
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
		for name, e := range m.table.entries {
			if !listed[name] && e.version > 0 && e.version <= version {
				changes = append(changes, core.HostChange{Deleted: true, Host: core.Host{Host: name}, Version: max(version, e.version+1)})
			}
		}
		m.updateHeard = now
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

// register writes the own registration when it changed or is missing.
func (m *Members) register(ctx context.Context) {
	for {
		wait := refreshInterval
		if err := m.writeRegistration(ctx); err != nil {
			event.MemberStoreError.Write(m.log, zap.Error(err))
			wait = retryInterval
		} else if m.firstRelay() {
			if err := m.Forget(ctx); err != nil {
				event.MemberStoreError.Write(m.log, zap.Error(err))
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-m.registration:
		case <-m.timer.After(wait):
		}
	}
}

// watch follows the registrations in the store while this host is a relay.
func (m *Members) watch(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		relaying, version := m.table.relaying, m.table.version
		m.mu.Unlock()
		wait := retryInterval
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

// writeRegistration makes the store contain the own registration; a write whose answer was lost is found again.
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
		m.written(self, object.Version)
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
	m.written(self, version)
	event.MemberRegistered.Write(m.log, zap.String("host", self.Host), zap.String("state", string(self.State)))
	return nil
}

// written notes that the store contains the own registration.
func (m *Members) written(self core.Host, version int64) {
	m.mu.Lock()
	m.table.apply([]core.HostChange{{Host: self, Version: version}}, m.timer.Now())
	m.mu.Unlock()
	m.onWritten(self)
}
