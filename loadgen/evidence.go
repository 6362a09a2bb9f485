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

// evidenceCommand returns the command that reads the evidence of upstream stand-ins.
func evidenceCommand(stdout io.Writer) *ffcli.Command {
	set := flag.NewFlagSet("evidence", flag.ContinueOnError)
	controls := set.String("controls", "", "control addresses of testup processes, separated by commas")
	failAfterDrain := set.Bool("fail-after-drain", false, "fail when a request started after a drain order")
	notRun := set.String("not-run", "", "file written by run -not-run")
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
		FlagSet:    set,
		Name:       "evidence",
		Options:    options(),
		ShortHelp:  "fail when a target was over its slots or a key ran twice",
		ShortUsage: "loadgen evidence -controls host:port,...",
	}
}
