package fanout

import (
	"time"
)

// Option configures a Keeper.
type Option func(*Keeper)

// WithSubscribers sets the function that lists the addresses to which changes are announced.
func WithSubscribers(subscribers func() []string) Option {
	return func(k *Keeper) { k.subscribers = subscribers }
}

// WithApply adds a function that validates and applies the documents whose name starts with prefix.
func WithApply(prefix string, apply ApplyFunc) Option {
	return func(k *Keeper) { k.appliers = append(k.appliers, applier{apply: apply, prefix: prefix}) }
}

// WithSources sets the function that lists the addresses to exchange versions with, in order of preference.
func WithSources(sources func() []string) Option {
	return func(k *Keeper) { k.sources = sources }
}

// WithSyncInterval sets the mean time between two exchanges of versions; the default is DefaultSyncInterval.
func WithSyncInterval(interval time.Duration) Option {
	return func(k *Keeper) { k.syncInterval = interval }
}
