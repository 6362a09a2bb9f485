package core

import (
	"context"

	"github.com/juju/errors"
)

// Errors that every Store implementation returns, possibly wrapped.
const (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.ConstError("object not found")
	// ErrConflict means that the object's version differs from the expected one; nothing was written.
	ErrConflict = errors.ConstError("object version conflict")
	// ErrUncertain means that the response to a write was lost; the write may have taken effect.
	ErrUncertain = errors.ConstError("outcome of store write unknown")
	// ErrUnavailable means that the store refused or never received the call; nothing was written.
	ErrUnavailable = errors.ConstError("store unavailable")
	// ErrTooLarge means that the value exceeds MaxObjectBytes; nothing was written.
	ErrTooLarge = errors.ConstError("object too large")
)

// MaxObjectBytes is the largest value that the store accepts, in bytes.
const MaxObjectBytes = 1 << 20

// Object is one versioned value of the store.
type Object struct {
	Key     string `json:"key" msgpack:"key"`
	Value   []byte `json:"value,omitempty" msgpack:"value"`
	Version int64  `json:"version" msgpack:"version"`
	Deleted bool   `json:"deleted,omitempty" msgpack:"deleted"`
}

// Store is the object API of the platform. Versions start at 1 and increase with every change of any key.
type Store interface {
	// Delete removes key if its version equals version.
	Delete(ctx context.Context, key string, version int64) error
	// Get returns the object at key, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns all objects below prefix in key order.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put writes value if the version of key equals version (0: key must not exist) and returns the new version.
	Put(ctx context.Context, key string, value []byte, version int64) (int64, error)
	// Watch waits until an object below prefix has a version above after or the store's wait limit expires. It returns the
	// changed objects and the version to continue from.
	Watch(ctx context.Context, prefix string, after int64) ([]Object, int64, error)
}

// Keys of the objects that ebonyrouter keeps in the store.
const (
	KeySettingsHead    = "settings/head"
	KeySettingsPrefix  = "settings/rev/"
	KeyBlocksPrefix    = "blocks/"
	KeyHostsPrefix     = "hosts/"
	KeyOwnershipPrefix = "ownership/"
	KeyDedupPrefix     = "dedup/"
	// KeyQuotaCoordinator holds the QuotaRecord of the coordinator of customers' quotas.
	KeyQuotaCoordinator = "quota/coordinator"
)
