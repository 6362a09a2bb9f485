package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"ebonyrouter.dev/core/config"
)

func (a *app) effectiveCommand() *ffcli.Command {
	return a.command("effective", "SERVICE ZONE", "shows each value with its origin", a.registerStore, func(ctx context.Context, args []string) error {
		base, err := newest(ctx, a.readable())
		if err != nil {
			return err
		}
		values, err := config.Explain(&base.settings, args[0], args[1])
		if err != nil {
			return err
		}
		for _, v := range values {
			a.print("%-26s %-10d %s", v.Field, v.Value, v.Origin)
		}
		return nil
	})
}
