package main

import (
	"context"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/blocks"
	"ebonyrouter.dev/core/codes"
)

func (a *app) checkCommand() *ffcli.Command {
	return a.command("check", "FILE", "checks a settings file", a.registerStoreFlags, func(ctx context.Context, args []string) error {
		settings, err := readSettings(args[0])
		if err != nil {
			return err
		}
		if err := a.checkBlocks(ctx, settings); err != nil {
			return errors.Annotate(err, args[0])
		}
		a.printLine("%d valid: %s", codes.SettingsValid, args[0])
		return nil
	})
}

// checkBlocks checks settings against their block map, as a change of the newest revision. It reads nothing from the store
// if the settings have no block map.
func (a *app) checkBlocks(ctx context.Context, settings core.Settings) error {
	if settings.Blocks.Version == "" {
		return nil
	}
	s := a.readOnlyStore()
	_, newest, err := loadRevision(ctx, s, 0)
	if err != nil {
		return err
	}
	return blocks.CheckZones(ctx, s, &newest, &settings)
}
