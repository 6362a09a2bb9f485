package main

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"
	"strings"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"ebonyrouter.dev/loadgen/drive"
)

// evidenceCommand returns the command that reads and checks the evidence of the targets of test upstreams.
func evidenceCommand(stdout io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("evidence", flag.ContinueOnError)
	controls := flags.String("controls", "", "control addresses of testup processes, separated by commas")
	failAfterDrain := flags.Bool("fail-after-drain", false, "fail when a request started after a drain order")
	notRun := flags.String("not-run", "", "file with the tokens written by run -not-run")
	exec := func(ctx context.Context, _ []string) error {
		var tokens []string
		if *notRun != "" {
			text, err := os.ReadFile(*notRun)
			if err != nil {
				return errors.Trace(err)
			}
			tokens = strings.Fields(string(text))
		}
		summary, err := drive.ReadEvidence(ctx, drive.SplitList(*controls), tokens)
		if err != nil {
			return errors.Trace(err)
		}
		err = json.NewEncoder(stdout).Encode(summary)
		if err != nil {
			return errors.Trace(err)
		}
		return summary.Check(*failAfterDrain)
	}
	return &ffcli.Command{
		Exec:       exec,
		FlagSet:    flags,
		Name:       "evidence",
		Options:    options(),
		ShortHelp:  "fail if a target exceeded its slots or connection limit, or if a key ran more than once",
		ShortUsage: "loadgen evidence -controls host:port,...",
	}
}
