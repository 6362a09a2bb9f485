package main

import (
	"context"
	"flag"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/core/config"
	"ebonyrouter.dev/core/store"
)

func (a *app) applyCommand() *ffcli.Command {
	var base int64
	var dryRun bool
	register := func(flags *flag.FlagSet) {
		a.registerWrite(flags)
		flags.Int64Var(&base, "base", 0, "`revision` that the file was edited from, as printed by get; 0 for the first")
		flags.BoolVar(&dryRun, "dry-run", false, "show what would be written")
	}
	return a.command("apply", "FILE", "makes a file the accepted revision", register, func(ctx context.Context, args []string) error {
		settings, err := read(args[0])
		if err != nil {
			return err
		}
		change := a.change(base, settings, "apply "+args[0])
		if dryRun {
			return a.dryRun(func(s core.Store) (core.SettingsHead, error) { return applyTree(ctx, s, change) })
		}
		head, err := applyTree(ctx, a.store(), change)
		return a.report(head, true, err)
	})
}

// applyTree accepts a change of a revision that an operator named, which need not be the newest one.
func applyTree(ctx context.Context, s core.Store, change config.Change) (core.SettingsHead, error) {
	if change.Settings.Blocks.Version == "" {
		return config.Apply(ctx, s, change)
	}
	base, err := newest(ctx, s)
	if err != nil && !errors.Is(err, core.ErrNotFound) {
		return core.SettingsHead{}, err
	}
	if base.head.Revision != change.Base {
		// Apply reports the conflict.
		return config.Apply(ctx, s, change)
	}
	return base.acceptTree(ctx, s, change)
}

// dryRun applies a change to a store that only records writes and prints their keys.
func (a *app) dryRun(apply func(core.Store) (core.SettingsHead, error)) error {
	s := store.NewDryRun(a.store())
	head, err := apply(s)
	if err != nil {
		return err
	}
	if len(s.Writes()) == 0 {
		return a.report(head, false, nil)
	}
	for _, write := range s.Writes() {
		a.print("would write %s (%d bytes)", write.Key, len(write.Value))
	}
	a.print("%d dry run: revision %d", codes.SettingsDryRun, head.Revision)
	return nil
}
