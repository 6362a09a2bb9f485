package main

import (
	"context"
	"slices"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func (a *app) undrainCommand() *ffcli.Command {
	return a.command("undrain", drainArguments, "puts a host, target or zone back into service", a.registerWriteFlags, func(ctx context.Context, args []string) error {
		return a.editDrain(ctx, "undrain", args, func(names []string, name string) []string {
			return slices.DeleteFunc(names, func(other string) bool { return other == name })
		})
	})
}
