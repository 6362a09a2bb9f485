package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"ebonyrouter.dev/core"
)

func (a *app) blocksApplyCommand() *ffcli.Command {
	var base int64
	var dryRun bool
	register := func(flags *flag.FlagSet) {
		a.registerWriteFlags(flags)
		flags.Int64Var(&base, "base", 0, "`revision` whose map the file was edited from, as printed by blocks get; 0 if there was no map")
		flags.BoolVar(&dryRun, "dry-run", false, "print what would be written without writing it")
	}
	return a.command("blocks apply", "FILE", "applies the map of a block file as a new revision", register, func(ctx context.Context, args []string) error {
		file, err := readBlocks(args[0])
		if err != nil {
			return err
		}
		encoded, err := file.Encode()
		if err != nil {
			return err
		}
		c := blocksChange{app: a, base: base, encoded: encoded, file: file, path: args[0]}
		if dryRun {
			return a.dryRun(func(s core.Store) (core.SettingsHead, error) {
				head, _, err := c.apply(ctx, s)
				return head, err
			})
		}
		return a.reportChange(c.apply(ctx, a.store()))
	})
}
