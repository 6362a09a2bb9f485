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

// runCommand returns the command that runs one mode, or two in turn for a comparison.
func runCommand(stdout io.Writer) *ffcli.Command {
	set := flag.NewFlagSet("run", flag.ContinueOnError)
	f := &runFlags{}
	set.IntVar(&f.config.BodyBytes, "body-bytes", 100, "size of a request body for methods with one")
	set.StringVar(&f.config.Client, "client", "127.0.0.1", "client address of look-ups")
	set.IntVar(&f.config.Concurrency, "concurrency", 4, "requests in flight at most")
	set.DurationVar(&f.config.Deadline, "deadline", time.Second, "deadline of a request")
	set.DurationVar(&f.config.Duration, "duration", 5*time.Second, "duration of each mode")
	set.StringVar(&f.entries, "entries", "", "entry addresses, separated by commas")
	set.BoolVar(&f.json, "json", true, "print JSON after the table")
	set.BoolVar(&f.config.Keyed, "keyed", false, "send an Idempotency-Key")
	set.Int64Var(&f.bounds.MaxErrors, "max-errors", 0, "errors permitted in each mode")
	set.Float64Var(&f.bounds.MaxP50Ratio, "max-p50-ratio", 0, "permitted ratio of the p50 of the second mode to the first")
	set.Float64Var(&f.bounds.MaxP99Ratio, "max-p99-ratio", 0, "permitted ratio of the p99 of the second mode to the first")
	set.StringVar(&f.config.Method, "method", "GET", "method of the requests")
	set.Float64Var(&f.bounds.MinGoodput, "min-goodput", 0, "verified responses in time per second wanted in each mode")
	set.Int64Var(&f.bounds.MinSuccess, "min-success", 1, "verified responses wanted in each mode")
	set.StringVar(&f.modes, "modes", drive.ModeSystem, "one or two of direct, roundrobin and system; the first is the base")
	set.StringVar(&f.notRun, "not-run", "", "file for the tokens of POST and PATCH requests that callers were told were not run")
	set.StringVar(&f.config.Path, "path", "/", "path of the requests")
	set.Float64Var(&f.config.Rate, "rate", 0, "requests per second of an open loop; 0 is a closed loop")
	set.IntVar(&f.rounds, "rounds", 2, "parts into which the duration is split, the modes taking turns")
	set.StringVar(&f.config.Service, "service", "", "service of the requests")
	set.StringVar(&f.targets, "targets", "", "upstream addresses, separated by commas")
	set.StringVar(&f.config.Tenant, "tenant", "", "tenant of the requests")
	return &ffcli.Command{
		Exec:       func(ctx context.Context, _ []string) error { return run(ctx, f, stdout) },
		FlagSet:    set,
		Name:       "run",
		Options:    options(),
		ShortHelp:  "send load, verify the responses and compare modes",
		ShortUsage: "loadgen run [flags]",
	}
}

// run prints the reports and returns an error when a bound is violated.
func run(ctx context.Context, f *runFlags, stdout io.Writer) error {
	f.config.Entries = drive.SplitList(f.entries)
	f.config.Targets = drive.SplitList(f.targets)
	modes := drive.SplitList(f.modes)
	if len(modes) < 1 || len(modes) > 2 || f.rounds < 1 {
		return errors.New("one or two modes and at least one round are needed")
	}
	reports, err := drive.Experiment(ctx, f.config, modes, f.rounds)
	if err != nil {
		return errors.Trace(err)
	}
	err = writeNotRun(f.notRun, reports)
	if err != nil {
		return errors.Trace(err)
	}
	comparison := drive.Compare(reports)
	outcome := f.bounds.Check(reports, comparison)
	err = drive.WriteTable(stdout, reports)
	if err != nil {
		return errors.Trace(err)
	}
	if comparison != nil {
		_, _ = fmt.Fprintf(stdout, "%s / %s: p50 %.3f (%+d us), p99 %.3f, p99.9 %.3f, goodput %.3f\n",
			comparison.Mode, comparison.Base, comparison.P50, comparison.P50Added, comparison.P99, comparison.P999, comparison.Goodput)
	}
	if !f.json {
		return outcome
	}
	printed := result{Comparison: comparison, Reports: reports}
	if outcome != nil {
		printed.Failure = outcome.Error()
	}
	err = json.NewEncoder(stdout).Encode(printed)
	if err != nil {
		return errors.Trace(err)
	}
	return outcome
}

// writeNotRun writes one token per line, for the evidence command.
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
