package drive

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Comparison compares the results of the second mode with those of the first: ratios of goodput and latency percentiles,
// and the difference of the p50 in microseconds.
type Comparison struct {
	Base     string  `json:"base"`
	Goodput  float64 `json:"goodput"`
	Mode     string  `json:"mode"`
	P50      float64 `json:"p50"`
	P50Added int64   `json:"p50_added_us"`
	P99      float64 `json:"p99"`
	P999     float64 `json:"p99_9"`
}

// RunExperiment runs each mode for config.Duration in total. The modes alternate in the given number of rounds, so that
// changes in the load of the machine affect them alike.
func RunExperiment(ctx context.Context, config Config, modes []string, rounds int) ([]*Report, error) {
	var runners []*Runner
	var reports []*Report
	for _, mode := range modes {
		runner, err := NewRunner(mode, config)
		if err != nil {
			return nil, errors.Trace(err)
		}
		defer runner.Close()
		runners = append(runners, runner)
		reports = append(reports, NewReport(mode))
	}
	for range rounds {
		for n, runner := range runners {
			reports[n].Merge(runner.Run(ctx, config.Duration/time.Duration(rounds)))
		}
	}
	for _, report := range reports {
		report.Summarize()
	}
	return reports, nil
}

// Compare compares the second report with the first; it returns nil unless there are two reports.
func Compare(reports []*Report) *Comparison {
	if len(reports) != 2 {
		return nil
	}
	base, other := reports[0], reports[1]
	return &Comparison{
		Base:     base.Mode,
		Goodput:  ratio(other.Goodput, base.Goodput),
		Mode:     other.Mode,
		P50:      ratio(float64(other.P50), float64(base.P50)),
		P50Added: other.P50 - base.P50,
		P99:      ratio(float64(other.P99), float64(base.P99)),
		P999:     ratio(float64(other.P999), float64(base.P999)),
	}
}

func ratio(figure, base float64) float64 {
	if base == 0 {
		return 0
	}
	return figure / base
}
