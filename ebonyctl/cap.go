package main

import (
	"context"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"ebonyrouter.dev/core"
)

func (a *app) capCommand() *ffcli.Command {
	return a.command("cap", "SERVICE FROM TO RPS", "sets the cap of a shift", a.registerWriteFlags, func(ctx context.Context, args []string) error {
		rps, err := strconv.ParseInt(args[3], 10, 64)
		if err != nil {
			return usageError("RPS %q is not a whole number", args[3])
		}
		service, from, to := args[0], args[1], args[2]
		return a.edit(ctx, "cap "+strings.Join(args, " "), func(settings *core.Settings) (bool, error) {
			for i, s := range settings.Shifts {
				if s.Service == service && s.From == from && s.To == to {
					settings.Shifts[i].RequestsPerSecond = rps
					return s.RequestsPerSecond != rps, nil
				}
			}
			return false, errors.NotFoundf("shifts[%s/%s/%s]", service, from, to)
		})
	})
}
