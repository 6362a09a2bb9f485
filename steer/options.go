package main

import (
	"context"
	"os"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core/flags"
	"ebonyrouter.dev/core/start"
)

// options holds the command line options of a steer process.
type options struct {
	flags.Process
	entry *string
}

var _ start.Settings = options{}

// parseOptions reads flags and EBONY_ variables; the error lists all invalid ones.
func parseOptions(args []string) (start.Settings, error) {
	set := flags.New("steer", os.Stderr)
	o := options{
		Process: set.Process(),
		entry:   set.Address("entry-address", "", "link address of the entry process of this host"),
	}
	if err := set.Parse(args); err != nil {
		return nil, errors.Trace(err)
	}
	return o, nil
}

// Run implements start.Settings.Run.
func (o options) Run(ctx context.Context, log *zap.Logger, signals <-chan os.Signal) error {
	p, err := newProcess(o, log)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(p.serve(ctx, signals))
}
