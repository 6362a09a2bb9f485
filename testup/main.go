package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"

	"ebonyrouter.dev/testup/stand"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, os.Args[1:], os.Stdout)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "testup:", err)
		os.Exit(1)
	}
}

// run serves until ctx ends; the addresses in use are printed as one line of JSON.
func run(ctx context.Context, args []string, stdout io.Writer) error {
	set := flag.NewFlagSet("testup", flag.ContinueOnError)
	accept := set.Duration("accept-time", 0, "time that accepting one connection takes")
	body := set.Int("body-bytes", 1024, "size of a response body")
	connections := set.Int("connections", 360, "connection limit of a target, for the evidence")
	control := set.String("control", "127.0.0.1:0", "address of the control API")
	exponential := set.Bool("exponential", false, "draw service times from an exponential distribution")
	ports := set.String("ports", "0", "ports and ranges of the targets on 127.0.0.1")
	service := set.Float64("service-ms", 10, "service time in milliseconds, or its mean")
	slots := set.Int("slots", 4, "slots of a target, for the evidence")
	err := ff.Parse(set, args, ff.WithEnvVarPrefix("TESTUP"))
	if err != nil {
		return errors.Trace(err)
	}
	list, err := stand.ParsePorts(*ports)
	if err != nil {
		return errors.Trace(err)
	}
	process, err := stand.Start(stand.Config{
		AcceptTime: *accept, BodyBytes: *body, Connections: *connections, Exponential: *exponential, Ports: list,
		ServiceTime: time.Duration(*service * float64(time.Millisecond)), Slots: *slots,
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = process.Close() }()
	return errors.Trace(serve(ctx, process, *control, stdout))
}

// serve runs the control API until ctx ends.
func serve(ctx context.Context, process *stand.Process, address string, stdout io.Writer) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Annotate(err, "control address")
	}
	server := &http.Server{Handler: process.ControlHandler(), ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	addresses := []string{}
	for _, target := range process.Targets() {
		addresses = append(addresses, target.Address())
	}
	err = json.NewEncoder(stdout).Encode(map[string]any{"control": listener.Addr().String(), "targets": addresses})
	if err != nil {
		return errors.Trace(err)
	}
	err = server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Trace(err)
}
