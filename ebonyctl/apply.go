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
		a.registerWriteFlags(flags)
		flags.Int64Var(&base, "base", 0, "`revision` that the file was edited from, as printed by get; 0 for the first")
		flags.BoolVar(&dryRun, "dry-run", false, "print what would be written without writing it")
	}
	return a.command("apply", "FILE", "applies a settings file as a new revision", register, func(ctx context.Context, args []string) error {
		settings, err := readSettings(args[0])
		if err != nil {
			return err
		}
		change := a.newChange(base, settings, "apply "+args[0])
		if dryRun {
			return a.dryRun(func(s core.Store) (core.SettingsHead, error) { return applyAtBase(ctx, s, change) })
		}
		head, err := applyAtBase(ctx, a.store(), change)
		return a.reportChange(head, true, err)
	})
}

// applyAtBase applies a change to the base revision that the operator specified. It fails with a config.ConflictError if this
// is not the newest revision. Settings with a block map are checked against the map first.
func applyAtBase(ctx context.Context, s core.Store, change config.Change) (core.SettingsHead, error) {
	if change.Settings.Blocks.Version == "" {
		return config.Apply(ctx, s, change)
	}
	newest, err := loadNewest(ctx, s)
	if err != nil && !errors.Is(err, core.ErrNotFound) {
		return core.SettingsHead{}, err
	}
	if newest.head.Revision != change.Base {
		// Apply returns the conflict error.
		return config.Apply(ctx, s, change)
	}
	return newest.applyChecked(ctx, s, change)
}

// dryRun applies a change to a store that records writes instead of executing them, and prints their keys and sizes.
func (a *app) dryRun(apply func(core.Store) (core.SettingsHead, error)) error {
	s := store.NewDryRun(a.store())
	head, err := apply(s)
	if err != nil {
		return err
	}
	if len(s.Writes()) == 0 {
		return a.reportChange(head, false, nil)
	}
	for _, write := range s.Writes() {
		a.printLine("would write %s (%d bytes)", write.Key, len(write.Value))
	}
	a.printLine("%d dry run: revision %d", codes.SettingsDryRun, head.Revision)
	return nil
}
