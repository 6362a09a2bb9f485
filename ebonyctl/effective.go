package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"ebonyrouter.dev/core/config"
)

func (a *app) effectiveCommand() *ffcli.Command {
	return a.command("effective", "SERVICE ZONE", "shows the effective settings of a service in a zone and their origins", a.registerStoreFlags, func(ctx context.Context, args []string) error {
		newest, err := loadNewest(ctx, a.readOnlyStore())
		if err != nil {
			return err
		}
		values, err := config.Explain(&newest.settings, args[0], args[1])
		if err != nil {
			return err
		}
		for _, v := range values {
			a.printLine("%-26s %-10d %s", v.Field, v.Value, v.Origin)
		}
		return nil
	})
}
