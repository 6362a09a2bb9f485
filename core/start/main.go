package start

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/flags"
)

// Settings are the validated process settings of a program.
type Settings interface {
	// Labels returns the fields that every log event carries, such as the host.
	Labels() []zap.Field
	// LogLevel returns the lowest level of log events.
	LogLevel() string
	// Run runs the program until a signal arrives and the graceful stop is complete, or until it fails.
	Run(ctx context.Context, log *zap.Logger, signals <-chan os.Signal) error
}

// Main parses args, runs the program and returns its exit code. Errors are written to output.
func Main(args []string, output io.Writer, parse func(args []string) (Settings, error)) int {
	settings, err := parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		_, _ = fmt.Fprintln(output, err)
		return flags.ExitUsage
	}
	// The first signal starts the graceful stop; the second one interrupts it.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	if err := run(settings, signals); err != nil {
		_, _ = fmt.Fprintln(output, err)
		return flags.ExitFailure
	}
	return 0
}

func run(settings Settings, signals <-chan os.Signal) error {
	log, err := newLogger(settings)
	if err != nil {
		return err
	}
	log = log.With(settings.Labels()...)
	defer func() { _ = log.Sync() }()
	err = settings.Run(context.Background(), log, signals)
	if err != nil {
		event.ProcessFailed.Write(log, zap.Error(err))
	}
	return err
}

// LoggerProvider is implemented by the settings of programs that do not log to standard error.
type LoggerProvider interface {
	// NewLogger returns the logger of the program.
	NewLogger() (*zap.Logger, error)
}

func newLogger(settings Settings) (*zap.Logger, error) {
	if p, ok := settings.(LoggerProvider); ok {
		return p.NewLogger()
	}
	return flags.NewLogger(settings.LogLevel())
}
