package main

import (
	"context"
	"strconv"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func (a *app) rollbackCommand() *ffcli.Command {
	return a.command("rollback", "REVISION", "accepts the settings of an old revision as a new revision", a.registerWriteFlags, func(ctx context.Context, args []string) error {
		revision, err := strconv.ParseInt(args[0], 10, 64)
		if err != nil || revision < 1 {
			return usageError("REVISION %q is not a positive number", args[0])
		}
		s := a.store()
		newest, err := loadNewest(ctx, s)
		if err != nil {
			return err
		}
		_, old, err := loadRevision(ctx, s, revision)
		if err != nil {
			return err
		}
		head, err := newest.applyChecked(ctx, s, a.newChange(newest.head.Revision, old, "rollback to revision "+args[0]))
		return a.reportChange(head, true, errors.Annotatef(err, "revision %d", revision))
	})
}
