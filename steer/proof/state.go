package proof

import (
	"time"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

// state is what a host knows about the newest settings. It is immutable.
type state struct {
	// changed is closed when another state replaces this one.
	changed chan struct{}
	// at is a time of this host's clock at which no settings newer than revision existed, if proven is set.
	at core.Instant
	// digest and revisionEra belong to revision: its content and the era in which it was last seen.
	digest      string
	revisionEra int64
	// era is the highest era of the store that was seen.
	era    int64
	proven bool
	// revision is the highest revision that was proven in any era. It never falls, because a key that it has withdrawn stays
	// withdrawn also while a restored store lacks it.
	revision int64
}

// finding is the result of one read or of one answer of a reader.
type finding struct {
	// at is the time from which the age counts.
	at          core.Instant
	digest      string
	era         int64
	revision    int64
	revisionEra int64
}

// with returns the state after a finding, and false if the finding is of an earlier era and does not count.
func (s *state) with(f finding) (*state, bool) {
	if f.era < s.era {
		return s, false
	}
	next := s.inEra(f.era)
	if f.revision > next.revision || f.revision == next.revision && f.revisionEra > next.revisionEra {
		next.revision, next.digest, next.revisionEra = f.revision, f.digest, f.revisionEra
	}
	if !next.proven || f.at.After(next.at) {
		next.at, next.proven = f.at, true
	}
	return next, true
}

// inEra returns a copy of the state in the given era, without the proof if that is a higher one.
func (s *state) inEra(era int64) *state {
	next := *s
	next.changed = make(chan struct{})
	if era > s.era {
		next.at, next.era, next.proven = 0, era, false
	}
	return &next
}

// age returns the age of the proof, and false if there is none.
func (s *state) age(now core.Instant) (time.Duration, bool) {
	return now.Sub(s.at), s.proven
}

// outdated reports whether the settings with the given revision and digest are not the newest that are known. An empty
// digest is not compared.
func (s *state) outdated(revision int64, digest string) bool {
	return revision < s.revision || revision == s.revision && digest != "" && s.digest != "" && digest != s.digest
}

// Errors of Await and Check.
var (
	errNoProof = &core.RejectedError{
		Code: codes.SettingsUnproven, RetryAfter: ageRetryAfter, Text: "no recent proof that the settings are current",
	}
	errOutdated = &core.RejectedError{
		Code: codes.SettingsUnproven, RetryAfter: revisionRetryAfter, Text: "newer settings exist than those in force on this host",
	}
)
