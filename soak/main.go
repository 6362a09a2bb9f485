package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitBroken = 1
	exitUsage  = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// run runs one soak and returns the exit code.
func run(ctx context.Context, args []string) int {
	o, err := parseOptions(args)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return exitUsage
	}
	broken, err := runSoak(ctx, o, os.Stdout)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "soak:", err)
		return exitUsage
	case broken:
		return exitBroken
	}
	return 0
}
