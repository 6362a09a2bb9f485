package core

import "github.com/juju/errors"

// TopicHosts carries HostsUpdate from a steer to its entry process.
const TopicHosts = "hosts"

// HostChange is one registration with the version that it has in the store; Deleted means that it was removed.
type HostChange struct {
	Deleted bool  `json:"deleted" msgpack:"deleted"`
	Host    Host  `json:"host" msgpack:"host"`
	Version int64 `json:"version" msgpack:"version"`
}

// HostsUpdate is everything that a steer knows about the hosts; Suspected names hosts that are not heard from.
// StoreDown means that the steer's last call on the store failed.
type HostsUpdate struct {
	Hosts     []Host   `json:"hosts" msgpack:"hosts"`
	StoreDown bool     `json:"store_down" msgpack:"store_down"`
	Suspected []string `json:"suspected" msgpack:"suspected"`
}

// MemberDigest and MemberUpdate are encoded as arrays: with field names an exporter of the design size sent 23 KB/s.

// MemberDigest says which hosts of a zone or region one of its relays does not hear from. Start names the run of the
// author's process, within which Sequence grows.
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

// MemberBeat stands for a digest that the receiver has: ID is a hash of its author and its content, Sequence its newest
// sequence.
type MemberBeat struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the msgpack package.

	ID       uint32 `json:"id" msgpack:"id"`
	Sequence int64  `json:"sequence" msgpack:"sequence"`
}

// MemberUpdate is what relays send: digests to other relays, changes and suspicions to the hosts of their zone. Changes
// lead from version Base to Version of the registrations. Complete means that Digests are all that the author answers for;
// they hold until its next message or the end of its link. Empty fields are left out, because relays send up to 60 of
// them a second.
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
func (n MemberUpdate) Validate() error {
	if n.Base < 0 || n.Version < 0 {
		return errors.NotValidf("base %d or version %d", n.Base, n.Version)
	}
	if (n.Complete || n.ForHosts) && n.Author == "" {
		return errors.NotValidf("author: empty")
	}
	for i, b := range n.Beats {
		if b.Sequence < 0 {
			return errors.NotValidf("beats[%d]: sequence %d", i, b.Sequence)
		}
	}
	for i, c := range n.Changes {
		if err := c.Validate(); err != nil {
			return errors.Annotatef(err, "changes[%d]", i)
		}
	}
	for i, d := range n.Digests {
		if err := d.Validate(); err != nil {
			return errors.Annotatef(err, "digests[%d]", i)
		}
	}
	return nil
}
