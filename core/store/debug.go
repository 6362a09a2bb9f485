package store

import (
	"context"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
)

// Debug forwards calls to another store and logs each call with its result.
type Debug struct {
	log   *zap.Logger
	store core.Store
}

var (
	_ core.ChangedGetter = (*Debug)(nil)
	_ core.Store         = (*Debug)(nil)
)

// NewDebug returns a wrapper of store that logs each call to log.
func NewDebug(store core.Store, log *zap.Logger) *Debug {
	return &Debug{log: log, store: store}
}

// Delete implements core.Store.Delete.
func (d *Debug) Delete(ctx context.Context, key string, version int64) error {
	err := d.store.Delete(ctx, key, version)
	d.logCall(CallDelete, key, err, zap.Int64("expected", version))
	return err
}

// Get implements core.Store.Get.
func (d *Debug) Get(ctx context.Context, key string) (core.Object, error) {
	o, err := d.store.Get(ctx, key)
	d.logCall(CallGet, key, err, zap.Int64("version", o.Version), zap.Int("bytes", len(o.Value)))
	return o, err
}

// GetChanged implements core.ChangedGetter.GetChanged.
func (d *Debug) GetChanged(ctx context.Context, key string, version int64) (core.Object, error) {
	o, err := GetChanged(ctx, d.store, key, version)
	d.logCall(CallGet, key, err, zap.Int64("held", version), zap.Int64("version", o.Version), zap.Int("bytes", len(o.Value)))
	return o, err
}

// List implements core.Store.List.
func (d *Debug) List(ctx context.Context, prefix string) ([]core.Object, error) {
	objects, err := d.store.List(ctx, prefix)
	d.logCall(CallList, prefix, err, zap.Int("objects", len(objects)))
	return objects, err
}

// Put implements core.Store.Put.
func (d *Debug) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	next, err := d.store.Put(ctx, key, value, version)
	d.logCall(CallPut, key, err, zap.Int64("expected", version), zap.Int64("version", next), zap.Int("bytes", len(value)))
	return next, err
}

// Watch implements core.Store.Watch.
func (d *Debug) Watch(ctx context.Context, prefix string, after int64) ([]core.Object, int64, error) {
	objects, next, err := d.store.Watch(ctx, prefix, after)
	d.logCall(CallWatch, prefix, err, zap.Int64("after", after), zap.Int64("version", next), zap.Int("objects", len(objects)))
	return objects, next, err
}

func (d *Debug) logCall(call, key string, err error, fields ...zap.Field) {
	fields = append(fields, zap.String("call", call), zap.String("key", key), zap.Error(err))
	event.StoreCalled.Write(d.log, fields...)
}
