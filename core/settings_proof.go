package core

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// maxProofAge bounds the age in a SettingsProof; a proof that old is of no use to anyone.
const maxProofAge = time.Minute

// TopicSettingsProof carries an empty request; the reply is a SettingsProof.
const TopicSettingsProof = "settings_proof"

// SettingsProof states the newest revision of the settings that a read of the store has shown.
type SettingsProof struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the msgpack package.

	// AgeNs is the time from just before the read was sent until the request was received, in nanoseconds, or 0 if the read was
	// sent later.
	AgeNs int64 `json:"age_ns" msgpack:"age_ns"`
	// Digest is the digest of the content of the revision.
	Digest string `json:"digest" msgpack:"digest"`
	// Era is the era of the store in which the read was made.
	Era int64 `json:"era" msgpack:"era"`
	// Revision is the highest revision that the sender has seen proven in any era, so it is never lower than what the read has shown.
	Revision int64 `json:"revision" msgpack:"revision"`
	// RevisionEra is the era in which Revision was last seen. A restored store may get a revision again with other content.
	RevisionEra int64 `json:"revision_era" msgpack:"revision_era"`
}

// Validate implements Validator.Validate.
func (p SettingsProof) Validate() error {
	if p.AgeNs < 0 || p.AgeNs > int64(maxProofAge) {
		return errors.NotValidf("age_ns: %d", p.AgeNs)
	}
	if p.RevisionEra < 0 || p.Era < p.RevisionEra {
		return errors.NotValidf("era %d with a revision of era %d", p.Era, p.RevisionEra)
	}
	if p.Revision <= 0 {
		return errors.NotValidf("revision: %d", p.Revision)
	}
	return nil
}

// NewestSettings identifies the newest settings in the store. Era counts how often the store was restored from an older copy.
type NewestSettings struct {
	Digest   string
	Era      int64
	Revision int64
}

// NewestSettingsReader reads from the store which settings are the newest.
type NewestSettingsReader interface {
	// ReadNewest returns the settings that were the newest at some time after the call began. It makes a linearizable call to the
	// store and returns its error if it fails.
	ReadNewest(ctx context.Context) (NewestSettings, error)
}
