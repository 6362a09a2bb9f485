package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/core/config"
	"ebonyrouter.dev/core/store"
)

const envPrefix = "EBONYCTL"

// app holds what the commands share.
type app struct {
	admin   string
	address string
	author  string
	debug   bool
	errOut  io.Writer
	message string
	now     func() time.Time
	out     io.Writer
	token   string
}

// change returns settings as a change by the author that the flags name.
func (a *app) change(base int64, settings core.Settings, fallback string) config.Change {
	message := a.message
	if message == "" {
		message = fallback
	}
	return config.Change{Author: a.author, Base: base, Message: message, Settings: settings, UnixMs: a.now().UnixMilli()}
}

// command returns a command whose flags also take the environment; register adds the command's flags. The name of a
// subcommand starts with that of its parent. The command line must have one argument for each word of arguments.
func (a *app) command(name, arguments, help string, register func(*flag.FlagSet), exec func(context.Context, []string) error) *ffcli.Command {
	flags := flag.NewFlagSet("ebonyctl "+name, flag.ContinueOnError)
	flags.SetOutput(a.errOut)
	if register != nil {
		register(flags)
	}
	return &ffcli.Command{
		Name:       name[strings.LastIndex(name, " ")+1:],
		ShortUsage: "ebonyctl " + name + " [flags] " + arguments,
		ShortHelp:  help,
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != len(strings.Fields(arguments)) {
				return usage("%s needs %s", name, cmp.Or(arguments, "no arguments"))
			}
			return exec(ctx, args)
		},
	}
}

// fail reports err with its numbered result and returns the exit code.
func (a *app) fail(err error) int {
	r := classify(err)
	_, _ = fmt.Fprintf(a.errOut, "%d %s: %v\n", r.code, r.name(), err)
	return r.exit
}

// print writes one line of the command's result.
func (a *app) print(format string, args ...any) {
	_, _ = fmt.Fprintf(a.out, format+"\n", args...)
}

// readable returns the store for commands that must not write.
func (a *app) readable() core.Store {
	return store.NewReadOnly(a.store())
}

// registerAdmin adds the flags of commands that ask an administration API.
func (a *app) registerAdmin(flags *flag.FlagSet) {
	flags.StringVar(&a.admin, "admin", "127.0.0.1:20002", "IP `address` with port of the administration API")
	flags.StringVar(&a.token, "token", "", "`token` of the administration API")
}

// registerRevision adds the flags of commands that read one revision.
func (a *app) registerRevision(revision *int64) func(*flag.FlagSet) {
	return func(flags *flag.FlagSet) {
		a.registerStore(flags)
		flags.Int64Var(revision, "revision", 0, "`revision` to read; 0 is the newest")
	}
}

// registerStore adds the flags of commands that read settings.
func (a *app) registerStore(flags *flag.FlagSet) {
	flags.StringVar(&a.address, "store", "127.0.0.1:20000", "IP `address` with port of the store")
	flags.BoolVar(&a.debug, "debug", false, "log each store call")
}

// registerWrite adds the flags of commands that change settings.
func (a *app) registerWrite(flags *flag.FlagSet) {
	a.registerStore(flags)
	flags.StringVar(&a.author, "author", cmp.Or(os.Getenv("USER"), "unknown"), "`name` of the operator for the history")
	flags.StringVar(&a.message, "message", "", "`reason` of the change for the history")
}

// report prints the revision that a command has made, or found to say already what the command wants.
func (a *app) report(head core.SettingsHead, changed bool, err error) error {
	switch {
	case err != nil:
		return err
	case changed:
		a.print("%d accepted: revision %d, change %s", codes.SettingsAccepted, head.Revision, head.ChangeID)
	default:
		a.print("%d unchanged: revision %d", codes.SettingsUnchanged, head.Revision)
	}
	return nil
}

// run executes the command line and returns the exit code.
func (a *app) run(ctx context.Context, args []string) int {
	root := a.command("ebonyctl", "COMMAND", "edits settings and shows the fleet", nil, func(_ context.Context, args []string) error {
		return usage("unknown command %q; see ebonyctl -h", args[0])
	})
	root.ShortUsage = "ebonyctl COMMAND [flags] ..."
	root.Subcommands = []*ffcli.Command{
		a.applyCommand(), a.blocksCommand(), a.capCommand(), a.checkCommand(), a.diffCommand(), a.drainCommand(),
		a.effectiveCommand(), a.explainCommand(), a.getCommand(), a.historyCommand(), a.rollbackCommand(), a.statusCommand(),
		a.undrainCommand(),
	}
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return a.fail(usage("%v", err))
	}
	if err := root.Run(ctx); err != nil {
		return a.fail(err)
	}
	return exitOK
}

// store returns the client of the store that the flags name.
func (a *app) store() core.Store {
	client := store.NewClient(a.address)
	if !a.debug {
		return client
	}
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	log := zap.New(zapcore.NewCore(encoder, zapcore.AddSync(a.errOut), zapcore.DebugLevel))
	return store.NewDebug(client, log)
}
