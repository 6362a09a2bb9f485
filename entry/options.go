package main

import (
	"context"
	"os"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core/flags"
	"ebonyrouter.dev/core/start"
)

// options are the process settings of an entry process.
type options struct {
	flags.Process
	caller *string
	relay  *string
	steer  *string
}

var _ start.Settings = options{}

// parseOptions reads flags and EBONY_ variables; the error lists all faults.
func parseOptions(args []string) (start.Settings, error) {
	set := flags.New("entry", os.Stderr)
	o := options{
		Process: set.Process(),
		caller:  set.Address("caller-address", "", "address that callers use, as look-ups name it"),
		relay:   set.Address("relay-address", "", "address of requests relayed by other entry processes"),
		steer:   set.Address("steer-address", "", "link address of the steer of this host"),
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
