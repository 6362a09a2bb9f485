package core

import "github.com/juju/errors"

// TopicHosts carries HostsUpdate from a steer to its entry process.
const TopicHosts = "hosts"

// HostChange is one registration with its version in the store. Deleted means that the registration was removed.
type HostChange struct {
	Deleted bool  `json:"deleted" msgpack:"deleted"`
	Host    Host  `json:"host" msgpack:"host"`
	Version int64 `json:"version" msgpack:"version"`
}

// HostsUpdate is the complete list of hosts of a steer. Suspected names the hosts that are suspected to be unreachable.
// StoreDown means that the steer's last call to the store failed.
type HostsUpdate struct {
	Hosts     []Host   `json:"hosts" msgpack:"hosts"`
	StoreDown bool     `json:"store_down" msgpack:"store_down"`
	Suspected []string `json:"suspected" msgpack:"suspected"`
}

// MemberDigest and MemberUpdate are encoded as arrays, because with field names an exporter, a relay that sends
// digests to other regions, sent 23 kB/s in a fleet of the design size.

// MemberDigest lists the hosts of a zone or region from which one of its relays receives nothing. Start identifies the run
// of the author's process, within which Sequence increases. It is about registered hosts, not about the lease
// members of Member and MemberRevoke.
type MemberDigest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the msgpack package.

	Author    string   `json:"author" msgpack:"author"`
	Region    string   `json:"region" msgpack:"region"`
	Sequence  int64    `json:"sequence" msgpack:"sequence"`
	Start     string   `json:"start" msgpack:"start"`
	Suspected []string `json:"suspected" msgpack:"suspected,omitempty"`
	// Zone is empty in the digest of a region.
	Zone string `json:"zone" msgpack:"zone,omitempty"`
}

// MemberBeat renews a digest that the receiver already has. ID is a hash of the author and content of the digest, Sequence
// its newest sequence number. It is about registered hosts, not about the lease members of Member and MemberRevoke.
type MemberBeat struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the msgpack package.

	ID       uint32 `json:"id" msgpack:"id"`
	Sequence int64  `json:"sequence" msgpack:"sequence"`
}

// MemberUpdate is the message of a relay: digests for other relays, changes and suspected hosts for the hosts of its zone.
// Changes lead from version Base of the registrations to Version. Complete means that Digests lists all digests that the
// author is responsible for; they are valid until its next message or the end of its link. Empty fields are omitted,
// because relays send up to 60 updates a second. It is about registered hosts, not about the lease members of Member and
// MemberRevoke.
type MemberUpdate struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the msgpack package.

	Author    string         `json:"author" msgpack:"author"`
	Base      int64          `json:"base" msgpack:"base,omitempty"`
	Beats     []MemberBeat   `json:"beats" msgpack:"beats,omitempty"`
	Changes   []HostChange   `json:"changes" msgpack:"changes,omitempty"`
	Complete  bool           `json:"complete" msgpack:"complete,omitempty"`
	Digests   []MemberDigest `json:"digests" msgpack:"digests,omitempty"`
	ForHosts  bool           `json:"for_hosts" msgpack:"for_hosts,omitempty"`
	Suspected []string       `json:"suspected" msgpack:"suspected,omitempty"`
	Version   int64          `json:"version" msgpack:"version,omitempty"`
}

// Validate implements Validator.Validate.
func (c HostChange) Validate() error {
	if c.Version <= 0 {
		return errors.NotValidf("version: %d", c.Version)
	}
	return errors.Trace(checkNames("host", c.Host.Host))
}

// Validate implements Validator.Validate.
func (d MemberDigest) Validate() error {
	if d.Sequence < 0 {
		return errors.NotValidf("sequence: %d", d.Sequence)
	}
	return errors.Trace(checkNames("author", d.Author, "region", d.Region))
}

// Validate implements Validator.Validate.
func (u MemberUpdate) Validate() error {
	if u.Base < 0 || u.Version < 0 {
		return errors.NotValidf("base %d or version %d", u.Base, u.Version)
	}
	if (u.Complete || u.ForHosts) && u.Author == "" {
		return errors.NotValidf("author: empty")
	}
	for i, b := range u.Beats {
		if b.Sequence < 0 {
			return errors.NotValidf("beats[%d]: sequence %d", i, b.Sequence)
		}
	}
	for i, c := range u.Changes {
		if err := c.Validate(); err != nil {
			return errors.Annotatef(err, "changes[%d]", i)
		}
	}
	for i, d := range u.Digests {
		if err := d.Validate(); err != nil {
			return errors.Annotatef(err, "digests[%d]", i)
		}
	}
	return nil
}
