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

// app holds the flag values and dependencies that the commands share.
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

// newChange returns a change that replaces revision base by settings. The author and the message come from the flags;
// the message defaults to defaultMessage.
func (a *app) newChange(base int64, settings core.Settings, defaultMessage string) config.Change {
	message := a.message
	if message == "" {
		message = defaultMessage
	}
	return config.Change{Author: a.author, Base: base, Message: message, Settings: settings, UnixMs: a.now().UnixMilli()}
}

// command returns a command whose flags can also be set by environment variables with envPrefix. The name of a subcommand
// includes the name of its parent, such as "blocks apply". arguments names the arguments that the command requires, one per word.
// register, which may be nil, adds the flags of the command.
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
				return usageError("%s needs %s", name, cmp.Or(arguments, "no arguments"))
			}
			return exec(ctx, args)
		},
	}
}

// fail prints err with its result code and name to standard error and returns the exit code.
func (a *app) fail(err error) int {
	r := classify(err)
	_, _ = fmt.Fprintf(a.errOut, "%d %s: %v\n", r.code, r.name(), err)
	return r.exit
}

// printLine writes one formatted line to standard output.
func (a *app) printLine(format string, args ...any) {
	_, _ = fmt.Fprintf(a.out, format+"\n", args...)
}

// readOnlyStore returns a store client that rejects writes, for commands that only read.
func (a *app) readOnlyStore() core.Store {
	return store.NewReadOnly(a.store())
}

// registerAdminFlags adds the flags of commands that call an administration API.
func (a *app) registerAdminFlags(flags *flag.FlagSet) {
	flags.StringVar(&a.admin, "admin", "127.0.0.1:20002", "IP `address` with port of the administration API")
	flags.StringVar(&a.token, "token", "", "`token` of the administration API")
}

// registerRevisionFlags returns a function that adds the flags of commands that read one revision.
func (a *app) registerRevisionFlags(revision *int64) func(*flag.FlagSet) {
	return func(flags *flag.FlagSet) {
		a.registerStoreFlags(flags)
		flags.Int64Var(revision, "revision", 0, "`revision` to read; 0 is the newest")
	}
}

// registerStoreFlags adds the flags of commands that use the store.
func (a *app) registerStoreFlags(flags *flag.FlagSet) {
	flags.StringVar(&a.address, "store", "127.0.0.1:20000", "IP `address` with port of the store")
	flags.BoolVar(&a.debug, "debug", false, "log each store call")
}

// registerWriteFlags adds the flags of commands that change settings.
func (a *app) registerWriteFlags(flags *flag.FlagSet) {
	a.registerStoreFlags(flags)
	flags.StringVar(&a.author, "author", cmp.Or(os.Getenv("USER"), "unknown"), "`name` of the operator, recorded in the history")
	flags.StringVar(&a.message, "message", "", "`reason` for the change, recorded in the history")
}

// reportChange prints the revision of head: the accepted one or, if changed is false, the newest one, which already has the
// requested settings. If err is not nil, it returns err and prints nothing.
func (a *app) reportChange(head core.SettingsHead, changed bool, err error) error {
	switch {
	case err != nil:
		return err
	case changed:
		a.printLine("%d accepted: revision %d, change %s", codes.SettingsAccepted, head.Revision, head.ChangeID)
	default:
		a.printLine("%d unchanged: revision %d", codes.SettingsUnchanged, head.Revision)
	}
	return nil
}

// run parses the command line, executes the command and returns the exit code.
func (a *app) run(ctx context.Context, args []string) int {
	root := a.command("ebonyctl", "COMMAND", "edits the settings and shows the state of the fleet", nil, func(_ context.Context, args []string) error {
		return usageError("unknown command %q; see ebonyctl -h", args[0])
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
		return a.fail(usageError("%v", err))
	}
	if err := root.Run(ctx); err != nil {
		return a.fail(err)
	}
	return exitOK
}

// store returns a client of the store at the address from the flags; with -debug it logs each call.
func (a *app) store() core.Store {
	client := store.NewClient(a.address)
	if !a.debug {
		return client
	}
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	log := zap.New(zapcore.NewCore(encoder, zapcore.AddSync(a.errOut), zapcore.DebugLevel))
	return store.NewDebug(client, log)
}
