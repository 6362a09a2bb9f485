package fanout

import (
	"time"
)

// Option changes a Keeper before it runs.
type Option func(*Keeper)

// WithAudience sets the function that lists the addresses to notify of changes.
func WithAudience(audience func() []string) Option {
	return func(k *Keeper) { k.audience = audience }
}

// WithCheck adds a check for all documents whose name starts with prefix.
func WithCheck(prefix string, check Check) Option {
	return func(k *Keeper) { k.checks = append(k.checks, namedCheck{check: check, prefix: prefix}) }
}

// WithSources sets the function that lists the addresses to pull from, in order of preference.
func WithSources(sources func() []string) Option {
	return func(k *Keeper) { k.sources = sources }
}

// WithSyncInterval sets the time between two exchanges of versions.
func WithSyncInterval(interval time.Duration) Option {
	return func(k *Keeper) { k.sync = interval }
}
