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

// retainedRevisions is the number of newest revisions whose maps each prune keeps.
const retainedRevisions = 2

// operators simulates concurrent operators at one store: any store call of a command may be preceded by whole commands of
// other operators.
type operators struct {
	*app
	core.Store
	depth  int
	random *rand.Rand
	t      *testing.T
}

// Delete implements core.Store.Delete.
func (o *operators) Delete(ctx context.Context, key string, version int64) error {
	o.maybeInterrupt(ctx)
	return o.Store.Delete(ctx, key, version)
}

// Get implements core.Store.Get.
func (o *operators) Get(ctx context.Context, key string) (core.Object, error) {
	o.maybeInterrupt(ctx)
	return o.Store.Get(ctx, key)
}

// Put implements core.Store.Put.
func (o *operators) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	o.maybeInterrupt(ctx)
	return o.Store.Put(ctx, key, value, version)
}

// maybeInterrupt runs a command of another operator before some store calls. Such a command can be interrupted in turn, up
// to three commands deep.
func (o *operators) maybeInterrupt(ctx context.Context) {
	if o.depth < 3 && o.random.IntN(12) == 0 {
		o.runCommand(ctx)
	}
}

// runCommand runs a random command, which commands of other operators may interrupt. Conflicts and missing objects that
// these cause are not test failures.
func (o *operators) runCommand(ctx context.Context) {
	o.depth++
	defer func() { o.depth-- }()
	var err error
	switch o.random.IntN(4) {
	case 0:
		_, err = prune(ctx, o, retainedRevisions)
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

// applyBlocks applies one of six maps, some of which share parts.
func (o *operators) applyBlocks(ctx context.Context) error {
	text := fmt.Sprintf("site a r-a %d\n10.0.0.0/%d a\n", 99+o.random.IntN(2), 8+o.random.IntN(3))
	file, err := blocks.ParseFile(strings.NewReader(text))
	assert.NilError(o.t, err)
	encoded, err := file.Encode()
	assert.NilError(o.t, err)
	newest, err := loadNewest(ctx, o)
	if err != nil {
		return err
	}
	c := blocksChange{app: o.app, base: newest.head.Revision, encoded: encoded, file: file}
	_, _, err = c.apply(ctx, o)
	return err
}

// rollback applies the settings of one of the newest six revisions again; their map may have been pruned.
func (o *operators) rollback(ctx context.Context) error {
	newest, err := loadNewest(ctx, o)
	if err != nil {
		return err
	}
	_, old, err := loadRevision(ctx, o, max(1, newest.head.Revision-o.random.Int64N(6)))
	if err != nil {
		return err
	}
	_, err = newest.apply(ctx, o, o.newChange(newest.head.Revision, old, ""))
	return err
}

// Guards against a prune that removes a part of a map that a retained revision refers to, while other operators apply, roll
// back and prune concurrently: a pruner may read the revisions before another operator refers to an old map again.
func TestPruneKeepsMapsOfRetainedRevisions(t *testing.T) {
	for seed := range uint64(5) {
		memory := store.NewMemory()
		o := &operators{
			app: &app{now: time.Now}, Store: memory, random: rand.New(rand.NewPCG(seed, 1)), t: t,
		}
		settings, err := config.Decode(fmt.Appendf(nil, settingsFormat, 900, "1", 5))
		assert.NilError(t, err)
		_, err = config.Apply(t.Context(), memory, o.newChange(0, settings, ""))
		assert.NilError(t, err)
		for step := range 40 {
			o.runCommand(t.Context())
			heads, err := config.History(t.Context(), memory, retainedRevisions)
			assert.NilError(t, err)
			for _, head := range heads {
				_, _, _, err := loadBlocks(t.Context(), memory, head.Revision)
				assert.NilError(t, err, "seed %d, step %d, revision %d of %d", seed, step, head.Revision, heads[0].Revision)
			}
		}
	}
}
