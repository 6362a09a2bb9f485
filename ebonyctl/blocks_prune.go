package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/blocks"
	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/core/config"
	"ebonyrouter.dev/core/store"
)

// defaultRetained is the number of revisions whose block maps prune keeps without a flag. At the 820 changes a day to
// design for these are the changes of the last day.
const defaultRetained = 1000

func (a *app) blocksPruneCommand() *ffcli.Command {
	var dryRun bool
	var retained int
	register := func(flags *flag.FlagSet) {
		a.registerStore(flags)
		flags.BoolVar(&dryRun, "dry-run", false, "show what would be removed")
		flags.IntVar(&retained, "revisions", defaultRetained, "`number` of newest revisions whose maps are kept")
	}
	return a.command("blocks prune", "", "removes maps that no retained revision names", register, func(ctx context.Context, _ []string) error {
		if retained < 1 {
			return usage("-revisions %d is not a positive number", retained)
		}
		s := a.store()
		var recorded *store.DryRun
		if dryRun {
			recorded = store.NewDryRun(s)
			s = recorded
		}
		done, err := prune(ctx, s, retained)
		if err != nil {
			return err
		}
		if !dryRun {
			a.print("%d pruned: %d objects with %d bytes removed, %d kept", codes.BlocksPruned, done.Removed, done.Bytes, done.Kept)
			return nil
		}
		for _, w := range recorded.Writes() {
			a.print("would remove %s", w.Key)
		}
		a.print("%d dry run: %d objects with %d bytes, %d kept", codes.SettingsDryRun, done.Removed, done.Bytes, done.Kept)
		return nil
	})
}

// prune removes the objects of block maps that none of the newest revisions names. The head is read first, so that every
// map named later is younger than it.
func prune(ctx context.Context, s core.Store, retained int) (blocks.Pruned, error) {
	base, err := newest(ctx, s)
	if err != nil {
		return blocks.Pruned{}, err
	}
	heads, err := config.History(ctx, s, retained)
	if err != nil {
		return blocks.Pruned{}, err
	}
	p := blocks.Pruner{HeadVersion: base.version, Retained: []core.BlockSettings{base.settings.Blocks}, Store: s}
	for _, head := range heads {
		settings, err := config.Tree(ctx, s, head)
		if err != nil {
			return blocks.Pruned{}, err
		}
		p.Retained = append(p.Retained, settings.Blocks)
	}
	return p.Prune(ctx)
}
