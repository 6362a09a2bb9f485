package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	a := &app{errOut: os.Stderr, now: time.Now, out: os.Stdout}
	exit := a.run(ctx, os.Args[1:])
	stop()
	os.Exit(exit)
}
