package main

import (
	"context"
	"fmt"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"ebonyrouter.dev/core/config"
)

func (a *app) getCommand() *ffcli.Command {
	var revision int64
	return a.command("get", "", "prints the settings of a revision", a.registerRevisionFlags(&revision), func(ctx context.Context, _ []string) error {
		update, err := config.Load(ctx, a.readOnlyStore(), revision)
		if err != nil {
			return err
		}
		if _, err := a.out.Write(update.Content); err != nil {
			return errors.Annotate(err, "write output")
		}
		_, _ = fmt.Fprintf(a.errOut, "revision %d\n", update.Head.Revision)
		return nil
	})
}
