package main

import (
	"context"
	"os"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core/flags"
	"ebonyrouter.dev/core/start"
)

// options holds the flags of an entry process.
type options struct {
	flags.Process
	callerAddress *string
	relayAddress  *string
	steerAddress  *string
}

var _ start.Settings = options{}

// parseOptions parses flags and EBONY_ environment variables; the error lists all invalid values.
func parseOptions(args []string) (start.Settings, error) {
	set := flags.New("entry", os.Stderr)
	o := options{
		Process:       set.Process(),
		callerAddress: set.Address("caller-address", "", "address at which callers reach this process, as returned by lookups"),
		relayAddress:  set.Address("relay-address", "", "address for requests relayed by other entry processes"),
		steerAddress:  set.Address("steer-address", "", "link address of the steer of this host"),
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
