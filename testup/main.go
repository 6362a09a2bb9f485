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

// run starts the targets and serves the control API until ctx ends.
func run(ctx context.Context, args []string, stdout io.Writer) error {
	flags := flag.NewFlagSet("testup", flag.ContinueOnError)
	accept := flags.Duration("accept-time", 0, "time that it takes to accept one connection")
	body := flags.Int("body-bytes", 1024, "size of a response body")
	connections := flags.Int("connections", 360, "connection limit of a target, reported in the evidence")
	control := flags.String("control", "127.0.0.1:0", "address of the control API")
	exponential := flags.Bool("exponential", false, "draw service times from an exponential distribution")
	ports := flags.String("ports", "0", "ports and port ranges of the targets on 127.0.0.1, separated by commas")
	service := flags.Float64("service-ms", 10, "service time in milliseconds; the mean if exponential")
	slots := flags.Int("slots", 4, "slots of a target, reported in the evidence")
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix("TESTUP"))
	if err != nil {
		return errors.Trace(err)
	}
	portNumbers, err := stand.ParsePorts(*ports)
	if err != nil {
		return errors.Trace(err)
	}
	process, err := stand.Start(stand.Config{
		AcceptTime: *accept, BodyBytes: *body, Connections: *connections, Exponential: *exponential, Ports: portNumbers,
		ServiceTime: time.Duration(*service * float64(time.Millisecond)), Slots: *slots,
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = process.Close() }()
	return errors.Trace(serve(ctx, process, *control, stdout))
}

// serve prints the addresses of the control API and the targets as one line of JSON and serves the API until ctx ends.
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
