package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"ebonyrouter.dev/core/blocks"
)

func (a *app) blocksDiffCommand() *ffcli.Command {
	var revision int64
	return a.command("blocks diff", "FILE", "compares a block file with the map of a revision", a.registerRevisionFlags(&revision), func(ctx context.Context, args []string) error {
		file, err := readBlocks(args[0])
		if err != nil {
			return err
		}
		head, old, _, err := loadBlocks(ctx, a.readOnlyStore(), revision)
		if err != nil {
			return err
		}
		differences := blocks.Diff(old, &file.Map)
		for _, d := range differences {
			a.printLine("%s", d)
		}
		a.printLine("%d differences from revision %d", len(differences), head.Revision)
		return nil
	})
}
