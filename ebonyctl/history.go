package main

import (
	"context"
	"flag"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"ebonyrouter.dev/core/config"
)

// defaultHistory is the number of revisions that history shows without a flag.
const defaultHistory = 20

func (a *app) historyCommand() *ffcli.Command {
	var limit int
	register := func(flags *flag.FlagSet) {
		a.registerStore(flags)
		flags.IntVar(&limit, "limit", defaultHistory, "largest `number` of revisions")
	}
	return a.command("history", "", "lists the accepted revisions", register, func(ctx context.Context, _ []string) error {
		heads, err := config.History(ctx, a.readable(), limit)
		if err != nil {
			return err
		}
		for _, h := range heads {
			at := time.UnixMilli(h.UnixMs).UTC().Format(time.RFC3339)
			a.print("%d %s %s %s %s", h.Revision, at, h.ChangeID, h.Author, h.Message)
		}
		return nil
	})
}
