package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"ebonyrouter.dev/core/event"
)

func main() {
	log, err := zap.NewProduction()
	if err != nil {
		os.Exit(1)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err = run(ctx, os.Args[1:], log)
	stop()
	if err != nil {
		event.ProcessFailed.Write(log, zap.Error(err))
		os.Exit(1)
	}
}
