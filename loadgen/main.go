package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	root := &ffcli.Command{
		Name:        "loadgen",
		ShortUsage:  "loadgen run|evidence [flags]",
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
		Subcommands: []*ffcli.Command{runCommand(os.Stdout), evidenceCommand(os.Stdout)},
	}
	err := root.ParseAndRun(ctx, os.Args[1:])
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "loadgen:", err)
		os.Exit(1)
	}
}

// options returns the options for flags that can also be set by environment variables.
func options() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix("LOADGEN")}
}
