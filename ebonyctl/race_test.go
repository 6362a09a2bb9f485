package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/blocks"
	"ebonyrouter.dev/core/config"
	"ebonyrouter.dev/core/store"
)

// retainedInRace is the number of revisions whose maps every removal keeps.
const retainedInRace = 2

// operators are several operators at one store; each call of one may come after a whole command of another.
type operators struct {
	*app
	core.Store
	depth  int
	random *rand.Rand
	t      *testing.T
}

// Delete implements core.Store.Delete.
func (o *operators) Delete(ctx context.Context, key string, version int64) error {
	o.interrupt(ctx)
	return o.Store.Delete(ctx, key, version)
}

// Get implements core.Store.Get.
func (o *operators) Get(ctx context.Context, key string) (core.Object, error) {
	o.interrupt(ctx)
	return o.Store.Get(ctx, key)
}

// Put implements core.Store.Put.
func (o *operators) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	o.interrupt(ctx)
	return o.Store.Put(ctx, key, value, version)
}

func (o *operators) interrupt(ctx context.Context) {
	if o.depth < 3 && o.random.IntN(12) == 0 {
		o.command(ctx)
	}
}

// command runs a command that another operator may interrupt; it may lose against that one.
func (o *operators) command(ctx context.Context) {
	o.depth++
	defer func() { o.depth-- }()
	var err error
	switch o.random.IntN(4) {
	case 0:
		_, err = prune(ctx, o, retainedInRace)
	case 1:
		err = o.rollback(ctx)
	default:
		err = o.applyBlocks(ctx)
	}
	var conflict *config.ConflictError
	if err != nil && !errors.As(err, &conflict) && !errors.Is(err, core.ErrNotFound) {
		assert.NilError(o.t, err)
	}
}

// applyBlocks applies one of six maps, some of which have equal parts.
func (o *operators) applyBlocks(ctx context.Context) error {
	text := fmt.Sprintf("site a r-a %d\n10.0.0.0/%d a\n", 99+o.random.IntN(2), 8+o.random.IntN(3))
	file, err := blocks.ParseFile(strings.NewReader(text))
	assert.NilError(o.t, err)
	encoded, err := file.Encode()
	assert.NilError(o.t, err)
	base, err := newest(ctx, o)
	if err != nil {
		return err
	}
	c := blocksChange{app: o.app, base: base.head.Revision, encoded: encoded, file: file}
	_, _, err = c.apply(ctx, o)
	return err
}

// rollback accepts one of the newest revisions again, whose map may be gone.
func (o *operators) rollback(ctx context.Context) error {
	base, err := newest(ctx, o)
	if err != nil {
		return err
	}
	_, old, err := load(ctx, o, max(1, base.head.Revision-o.random.Int64N(6)))
	if err != nil {
		return err
	}
	_, err = base.accept(ctx, o, o.change(base.head.Revision, old, ""))
	return err
}

// Guards against a removed part of a map that a retained revision names, whatever the order of the calls of operators who
// apply, roll back and prune at once.
func TestPruneNeverRemovesNamedMaps(t *testing.T) {
	for seed := range uint64(5) {
		memory := store.NewMemory()
		o := &operators{
			app: &app{now: time.Now}, Store: memory, random: rand.New(rand.NewPCG(seed, 1)), t: t,
		}
		settings, err := config.Decode(fmt.Appendf(nil, tree, 900, "1", 5))
		assert.NilError(t, err)
		_, err = config.Apply(t.Context(), memory, o.change(0, settings, ""))
		assert.NilError(t, err)
		for step := range 40 {
			o.command(t.Context())
			heads, err := config.History(t.Context(), memory, retainedInRace)
			assert.NilError(t, err)
			for _, head := range heads {
				_, _, _, err := loadBlocks(t.Context(), memory, head.Revision)
				assert.NilError(t, err, "seed %d, step %d, revision %d of %d", seed, step, head.Revision, heads[0].Revision)
			}
		}
	}
}
