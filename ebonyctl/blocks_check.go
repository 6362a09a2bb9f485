package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"ebonyrouter.dev/core/codes"
)

func (a *app) blocksCheckCommand() *ffcli.Command {
	return a.command("blocks check", "FILE", "checks a block file", nil, func(_ context.Context, args []string) error {
		file, err := readBlocks(args[0])
		if err != nil {
			return err
		}
		a.printLine("%d valid: %s, %d blocks, %d sites", codes.BlocksValid, args[0], len(file.Blocks), len(file.Sites))
		return nil
	})
}
