package share

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// ObjectStore keeps the record of the coordinator in the product's own store, whose versions are never repeated: it has one era.
type ObjectStore struct {
	store core.Store
}

var _ core.QuotaStore = (*ObjectStore)(nil)

// NewObjectStore returns the record at core.KeyQuotaCoordinator.
func NewObjectStore(store core.Store) *ObjectStore {
	return &ObjectStore{store: store}
}

// FirstEra implements core.QuotaStore.FirstEra.
func (o *ObjectStore) FirstEra() int64 { return 0 }

// Read implements core.QuotaStore.Read. A value that is no record names nobody.
func (o *ObjectStore) Read(ctx context.Context) (core.QuotaRead, error) {
	object, err := o.store.Get(ctx, core.KeyQuotaCoordinator)
	if errors.Is(err, core.ErrNotFound) {
		return core.QuotaRead{}, nil
	}
	if err != nil {
		return core.QuotaRead{}, errors.Trace(err)
	}
	read := core.QuotaRead{Revision: object.Version}
	var record core.QuotaRecord
	if json.Unmarshal(object.Value, &record) == nil && record.Validate() == nil {
		read.Record = record
	}
	return read, nil
}

// Write implements core.QuotaStore.Write.
func (o *ObjectStore) Write(ctx context.Context, record core.QuotaRecord, revision int64) (newRevision, era int64, err error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, 0, errors.Annotate(err, "encode the record of the coordinator")
	}
	newRevision, err = o.store.Put(ctx, core.KeyQuotaCoordinator, value, revision)
	return newRevision, 0, errors.Trace(err)
}
