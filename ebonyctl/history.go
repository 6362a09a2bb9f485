package main

import (
	"context"
	"flag"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"ebonyrouter.dev/core/config"
)

// defaultHistory is the default number of revisions that history lists.
const defaultHistory = 20

func (a *app) historyCommand() *ffcli.Command {
	var limit int
	register := func(flags *flag.FlagSet) {
		a.registerStoreFlags(flags)
		flags.IntVar(&limit, "limit", defaultHistory, "maximum `number` of revisions")
	}
	return a.command("history", "", "lists the accepted revisions", register, func(ctx context.Context, _ []string) error {
		heads, err := config.History(ctx, a.readOnlyStore(), limit)
		if err != nil {
			return err
		}
		for _, h := range heads {
			acceptedAt := time.UnixMilli(h.UnixMs).UTC().Format(time.RFC3339)
			a.printLine("%d %s %s %s %s", h.Revision, acceptedAt, h.ChangeID, h.Author, h.Message)
		}
		return nil
	})
}
