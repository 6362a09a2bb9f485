package main

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"ebonyrouter.dev/core/blocks"
)

func (a *app) blocksGetCommand() *ffcli.Command {
	var revision int64
	return a.command("blocks get", "", "prints the map of a revision as a block file", a.registerRevisionFlags(&revision), func(ctx context.Context, _ []string) error {
		head, m, _, err := loadBlocks(ctx, a.readOnlyStore(), revision)
		if err != nil {
			return err
		}
		if err := blocks.WriteFile(a.out, m); err != nil {
			return err
		}
		_, _ = fmt.Fprintf(a.errOut, "revision %d\n", head.Revision)
		return nil
	})
}
