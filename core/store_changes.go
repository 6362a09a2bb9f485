package core

import "github.com/juju/errors"

const (
	// TopicStoreChanges carries StoreChangesGet to a relay of the zone; the reply is a StoreChanges.
	TopicStoreChanges = "store_changes"
	// maxStoreChanges bounds the changes of one reply.
	maxStoreChanges = 4096
	// maxUnchangedKinds bounds the other kinds of one reply.
	maxUnchangedKinds = 16
)

// StoreChangesGet asks a relay for the changes of a kind of objects after a revision of the store in an era. WaitMs is the longest time in
// milliseconds for which the relay may wait for a change.
type StoreChangesGet struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the msgpack package.

	Kind   string `json:"kind" msgpack:"kind"`
	After  int64  `json:"after" msgpack:"after"`
	Era    int64  `json:"era" msgpack:"era"`
	WaitMs int64  `json:"wait_ms" msgpack:"wait_ms"`
}

// Validate implements Validator.Validate.
func (g StoreChangesGet) Validate() error {
	if g.Kind == "" || g.After <= 0 || g.WaitMs < 0 {
		return errors.NotValidf("kind %q after %d, wait of %d ms", g.Kind, g.After, g.WaitMs)
	}
	return nil
}

// StoreChanges is the reply to StoreChangesGet: all changes up to the revision AsOf. AgeMs is the time in milliseconds since the relay
// last knew the newest state of the kind. Unchanged tells of other kinds what the relay has checked.
type StoreChanges struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the msgpack package.

	AsOf    int64         `json:"as_of" msgpack:"as_of"`
	AgeMs   int64         `json:"age_ms" msgpack:"age_ms"`
	Changes []StoreChange `json:"changes" msgpack:"changes"`

	Unchanged []UnchangedKind `json:"unchanged" msgpack:"unchanged"`
}

// UnchangedKind means that no object of a kind has changed after the revision After up to AsOf.
type UnchangedKind struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the msgpack package.

	Kind  string `json:"kind" msgpack:"kind"`
	After int64  `json:"after" msgpack:"after"`
	AsOf  int64  `json:"as_of" msgpack:"as_of"`
}

// StoreChange is one change of an object. Object is the object as the store returned it.
type StoreChange struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the msgpack package.

	Deleted bool   `json:"deleted" msgpack:"deleted"`
	Object  []byte `json:"object" msgpack:"object"`
}

// Validate implements Validator.Validate.
func (c StoreChanges) Validate() error {
	if c.AsOf <= 0 || c.AgeMs < 0 || len(c.Changes) > maxStoreChanges || len(c.Unchanged) > maxUnchangedKinds {
		return errors.NotValidf("%d changes up to %d, age of %d ms, %d other kinds", len(c.Changes), c.AsOf, c.AgeMs, len(c.Unchanged))
	}
	for _, u := range c.Unchanged {
		if u.Kind == "" || u.After <= 0 || u.AsOf < u.After {
			return errors.NotValidf("kind %q unchanged after %d up to %d", u.Kind, u.After, u.AsOf)
		}
	}
	return nil
}
