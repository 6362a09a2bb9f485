package main

import (
	"context"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"ebonyrouter.dev/core/blocks"
	"ebonyrouter.dev/core/config"
)

func (a *app) diffCommand() *ffcli.Command {
	var revision int64
	return a.command("diff", "FILE", "compares a settings file with a revision", a.registerRevisionFlags(&revision), func(ctx context.Context, args []string) error {
		settings, err := readSettings(args[0])
		if err != nil {
			return err
		}
		s := a.readOnlyStore()
		head, old, err := loadRevision(ctx, s, revision)
		if err != nil {
			return err
		}
		if err := blocks.CheckZones(ctx, s, &old, &settings); err != nil {
			return errors.Annotate(err, args[0])
		}
		differences, err := config.Diff(old, settings)
		if err != nil {
			return err
		}
		for _, d := range differences {
			a.printLine("%s", d)
		}
		a.printLine("%d differences from revision %d", len(differences), head.Revision)
		return nil
	})
}
