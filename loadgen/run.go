package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"ebonyrouter.dev/loadgen/drive"
)

// runFlags holds the flags of the run command.
type runFlags struct {
	bounds  drive.Bounds
	config  drive.Config
	entries string
	json    bool
	modes   string
	notRun  string
	rounds  int
	targets string
}

// runCommand returns the command that sends load in one mode, or in two modes alternately to compare them.
func runCommand(stdout io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("run", flag.ContinueOnError)
	f := &runFlags{}
	flags.IntVar(&f.config.BodyBytes, "body-bytes", 100, "size of a request body for methods with one")
	flags.StringVar(&f.config.Client, "client", "127.0.0.1", "client address sent with lookups")
	flags.IntVar(&f.config.Concurrency, "concurrency", 4, "maximum number of requests in flight")
	flags.DurationVar(&f.config.Deadline, "deadline", time.Second, "deadline of a request")
	flags.DurationVar(&f.config.Duration, "duration", 5*time.Second, "duration of each mode")
	flags.StringVar(&f.entries, "entries", "", "entry addresses, separated by commas")
	flags.BoolVar(&f.json, "json", true, "print JSON after the table")
	flags.BoolVar(&f.config.Keyed, "keyed", false, "send an Idempotency-Key")
	flags.Int64Var(&f.bounds.MaxErrors, "max-errors", 0, "maximum number of errors in each mode")
	flags.Float64Var(&f.bounds.MaxP50Ratio, "max-p50-ratio", 0, "maximum ratio of the p50 of the second mode to that of the first; 0 is not checked")
	flags.Float64Var(&f.bounds.MaxP99Ratio, "max-p99-ratio", 0, "maximum ratio of the p99 of the second mode to that of the first; 0 is not checked")
	flags.StringVar(&f.config.Method, "method", "GET", "method of the requests")
	flags.Float64Var(&f.bounds.MinGoodput, "min-goodput", 0, "minimum rate of verified responses within the deadline in each mode, per second")
	flags.Int64Var(&f.bounds.MinSuccess, "min-success", 1, "minimum number of verified responses in each mode")
	flags.StringVar(&f.modes, "modes", drive.ModeSystem, "one or two of direct, roundrobin and system; the first is the base of the comparison")
	flags.StringVar(&f.notRun, "not-run", "", "file to write the tokens of POST and PATCH requests to that were rejected as not run")
	flags.StringVar(&f.config.Path, "path", "/", "path of the requests")
	flags.Float64Var(&f.config.Rate, "rate", 0, "requests per second of an open loop; 0 is a closed loop")
	flags.IntVar(&f.rounds, "rounds", 2, "number of rounds into which the duration is split; the modes alternate in each round")
	flags.StringVar(&f.config.Service, "service", "", "service of the requests")
	flags.StringVar(&f.targets, "targets", "", "upstream addresses, separated by commas")
	flags.StringVar(&f.config.Tenant, "tenant", "", "tenant of the requests")
	return &ffcli.Command{
		Exec:       func(ctx context.Context, _ []string) error { return run(ctx, f, stdout) },
		FlagSet:    flags,
		Name:       "run",
		Options:    options(),
		ShortHelp:  "send load, verify the responses and compare modes",
		ShortUsage: "loadgen run [flags]",
	}
}

// run sends the load, prints the reports and returns an error if a bound is violated.
func run(ctx context.Context, f *runFlags, stdout io.Writer) error {
	f.config.Entries = drive.SplitList(f.entries)
	f.config.Targets = drive.SplitList(f.targets)
	modes := drive.SplitList(f.modes)
	if len(modes) < 1 || len(modes) > 2 || f.rounds < 1 {
		return errors.New("one or two modes and at least one round are needed")
	}
	reports, err := drive.RunExperiment(ctx, f.config, modes, f.rounds)
	if err != nil {
		return errors.Trace(err)
	}
	err = writeNotRun(f.notRun, reports)
	if err != nil {
		return errors.Trace(err)
	}
	comparison := drive.Compare(reports)
	violation := f.bounds.Check(reports, comparison)
	err = drive.WriteTable(stdout, reports)
	if err != nil {
		return errors.Trace(err)
	}
	if comparison != nil {
		_, _ = fmt.Fprintf(stdout, "%s / %s: p50 %.3f (%+d us), p99 %.3f, p99.9 %.3f, goodput %.3f\n",
			comparison.Mode, comparison.Base, comparison.P50, comparison.P50Added, comparison.P99, comparison.P999, comparison.Goodput)
	}
	if !f.json {
		return violation
	}
	output := result{Comparison: comparison, Reports: reports}
	if violation != nil {
		output.Failure = violation.Error()
	}
	err = json.NewEncoder(stdout).Encode(output)
	if err != nil {
		return errors.Trace(err)
	}
	return violation
}

// writeNotRun writes the tokens of requests rejected as not run, one per line, for the evidence command.
func writeNotRun(path string, reports []*drive.Report) error {
	if path == "" {
		return nil
	}
	var text strings.Builder
	for _, report := range reports {
		for _, token := range report.NotRun() {
			_, _ = fmt.Fprintln(&text, token)
		}
	}
	return errors.Trace(os.WriteFile(path, []byte(text.String()), 0o600))
}
