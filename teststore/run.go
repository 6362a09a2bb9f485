package main

import (
	"context"
	"flag"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"
	"go.uber.org/zap"

	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/store"
	"ebonyrouter.dev/core/store/server"
)

const headerTimeout = 5 * time.Second

// run parses the flags and serves the store until ctx ends.
func run(ctx context.Context, args []string, log *zap.Logger) error {
	flags := flag.NewFlagSet("teststore", flag.ContinueOnError)
	address := flags.String("address", "127.0.0.1:20000", "IP `address` with port to listen on; port 0 picks a free one")
	watchLimit := flags.Duration("watch-limit", store.WatchLimit, "maximum `duration` of a watch")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("TESTSTORE")); err != nil {
		return errors.Annotate(err, "flags")
	}
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", *address)
	if err != nil {
		return errors.Annotatef(err, "listen on %s", *address)
	}
	memory := store.NewMemory(store.WithWatchLimit(*watchLimit))
	httpServer := &http.Server{
		Handler:           server.New(memory, log),
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	event.ProcessStarted.Write(log, zap.String("address", listener.Addr().String()))
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		_ = httpServer.Close()
	}()
	err = httpServer.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		return errors.Annotate(err, "serve")
	}
	<-stopped
	event.ProcessStopped.Write(log)
	return nil
}
