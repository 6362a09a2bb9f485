package drive

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxNotRun limits the tokens that one worker records as not run.
const maxNotRun = 100000

// Range and precision of the latency histograms.
const (
	histogramDigits = 3
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
)

// Report holds the results of one mode. Latencies are those of verified responses, in microseconds. Failovers counts the hosts
// that were tried before the last one of their request, InTime the verified responses within the deadline, Rejected the
// requests that were rejected as not run, and Unsent the requests that no worker could start before their deadline.
type Report struct {
	Errors     int64            `json:"errors"`
	Goodput    float64          `json:"goodput_per_s"`
	InTime     int64            `json:"in_time"`
	Mean       float64          `json:"mean_us"`
	Mismatches int64            `json:"mismatches"`
	Mode       string           `json:"mode"`
	Failovers  int64            `json:"moved"`
	P50        int64            `json:"p50_us"`
	P99        int64            `json:"p99_us"`
	P999       int64            `json:"p99_9_us"`
	Rejected   int64            `json:"rejected"`
	Requests   int64            `json:"requests"`
	Results    map[string]int64 `json:"results"`
	Seconds    float64          `json:"seconds"`
	Successes  int64            `json:"successes"`
	Unsent     int64            `json:"unsent"`
	histogram  *hdrhistogram.Histogram
	// notRun holds the tokens of the POST and PATCH requests that were rejected as not run.
	notRun []string
}

// NewReport returns an empty report.
func NewReport(mode string) *Report {
	return &Report{Mode: mode, Results: map[string]int64{}, histogram: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

// Merge adds the counts, latencies and duration of other. It does not update the mean, the percentiles and the goodput, which
// Summarize computes.
func (r *Report) Merge(other *Report) {
	r.Errors += other.Errors
	r.InTime += other.InTime
	r.Mismatches += other.Mismatches
	r.Failovers += other.Failovers
	r.Rejected += other.Rejected
	r.Requests += other.Requests
	r.Seconds += other.Seconds
	r.Successes += other.Successes
	r.Unsent += other.Unsent
	for result, count := range other.Results {
		r.Results[result] += count
	}
	r.histogram.Merge(other.histogram)
	r.notRun = append(r.notRun, other.notRun...)
}

// NotRun returns the tokens of the POST and PATCH requests that were rejected as not run.
func (r *Report) NotRun() []string {
	return r.notRun
}

// Summarize computes the mean, the percentiles and the goodput from the recorded values.
func (r *Report) Summarize() {
	r.Mean = r.histogram.Mean()
	r.P50 = r.histogram.ValueAtQuantile(50)
	r.P99 = r.histogram.ValueAtQuantile(99)
	r.P999 = r.histogram.ValueAtQuantile(99.9)
	if r.Seconds > 0 {
		r.Goodput = float64(r.InTime) / r.Seconds
	}
}

// WriteTable prints one line for each report and, below them, the number of requests by result for each mode.
func WriteTable(w io.Writer, reports []*Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "mode\trequests\tsuccesses\tgoodput/s\tp50 us\tp99 us\tp99.9 us\trejected\terrors\tunsent\tmismatches\t")
	for _, r := range reports {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n",
			r.Mode, r.Requests, r.Successes, r.Goodput, r.P50, r.P99, r.P999, r.Rejected, r.Errors, r.Unsent, r.Mismatches)
	}
	for _, r := range reports {
		var results []string
		for result := range r.Results {
			results = append(results, result)
		}
		slices.Sort(results)
		for _, result := range results {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t\n", r.Mode, result, r.Results[result])
		}
	}
	return table.Flush()
}

// record counts one finished request; latency and deadline matter only if it succeeded.
func (r *Report) record(o outcome, latency, deadline time.Duration) {
	r.Requests++
	r.Failovers += o.failovers
	r.Results[o.result]++
	switch o.kind {
	case kindSuccess:
		r.Successes++
		_ = r.histogram.RecordValue(min(histogramMax, max(1, latency.Microseconds())))
		if latency <= deadline {
			r.InTime++
		}
	case kindRejected:
		r.Rejected++
		if o.token != "" && len(r.notRun) < maxNotRun {
			r.notRun = append(r.notRun, o.token)
		}
	case kindUnsent:
		r.Unsent++
	case kindMismatch:
		r.Mismatches++
	default:
		r.Errors++
	}
}
