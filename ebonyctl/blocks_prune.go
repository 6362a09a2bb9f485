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

// defaultRetained is the default number of revisions whose block maps prune keeps. At the design rate of 820 changes a
// day, these cover more than the last day.
const defaultRetained = 1000

func (a *app) blocksPruneCommand() *ffcli.Command {
	var dryRun bool
	var retained int
	register := func(flags *flag.FlagSet) {
		a.registerStoreFlags(flags)
		flags.BoolVar(&dryRun, "dry-run", false, "print what would be removed without removing it")
		flags.IntVar(&retained, "revisions", defaultRetained, "`number` of newest revisions whose block maps are kept")
	}
	return a.command("blocks prune", "", "removes block maps that no retained revision uses", register, func(ctx context.Context, _ []string) error {
		if retained < 1 {
			return usageError("-revisions %d is not a positive number", retained)
		}
		s := a.store()
		var dryRunStore *store.DryRun
		if dryRun {
			dryRunStore = store.NewDryRun(s)
			s = dryRunStore
		}
		pruned, err := prune(ctx, s, retained)
		if err != nil {
			return err
		}
		if !dryRun {
			a.printLine("%d pruned: %d objects with %d bytes removed, %d kept", codes.BlocksPruned, pruned.Removed, pruned.Bytes, pruned.Kept)
			return nil
		}
		for _, w := range dryRunStore.Writes() {
			a.printLine("would remove %s", w.Key)
		}
		a.printLine("%d dry run: %d objects with %d bytes, %d kept", codes.SettingsDryRun, pruned.Removed, pruned.Bytes, pruned.Kept)
		return nil
	})
}

// prune removes the objects of block maps that none of the newest retained revisions refers to. It reads the settings head
// first: the pruner keeps objects that are newer than this head, and thus the maps of revisions accepted in the meantime.
func prune(ctx context.Context, s core.Store, retained int) (blocks.Pruned, error) {
	newest, err := loadNewest(ctx, s)
	if err != nil {
		return blocks.Pruned{}, err
	}
	heads, err := config.History(ctx, s, retained)
	if err != nil {
		return blocks.Pruned{}, err
	}
	p := blocks.Pruner{HeadVersion: newest.version, Retained: []core.BlockSettings{newest.settings.Blocks}, Store: s}
	for _, head := range heads {
		settings, err := config.Tree(ctx, s, head)
		if err != nil {
			return blocks.Pruned{}, err
		}
		p.Retained = append(p.Retained, settings.Blocks)
	}
	return p.Prune(ctx)
}
