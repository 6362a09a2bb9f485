package drive

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

const (
	// maxEvidenceBytes limits the evidence of one process; a million keys of 100 bytes fit.
	maxEvidenceBytes = 128 << 20
	// evidenceTimeout limits the time to fetch the evidence of one process.
	evidenceTimeout = 10 * time.Second
)

// EvidenceSummary sums up the evidence of the targets of all testup processes. Keys is the number of distinct keys. Repeated
// holds the keys that ran more than once with the number of runs, Denied the keys that ran although they were rejected as
// not run, and OverConnections the addresses of the targets whose connection limit was exceeded.
type EvidenceSummary struct {
	AfterDrain      int64            `json:"after_drain"`
	Denied          []string         `json:"denied"`
	Keys            int              `json:"keys"`
	OverConnections []string         `json:"over_connections"`
	OverSlots       int64            `json:"over_slots"`
	Repeated        map[string]int64 `json:"repeated"`
	Requests        int64            `json:"requests"`
	Targets         []TargetEvidence `json:"targets"`
}

// Check returns an error if a limit was exceeded, a key ran more than once or a request ran that was rejected as not run;
// with failAfterDrain also if a request started after a drain order.
func (e *EvidenceSummary) Check(failAfterDrain bool) error {
	switch {
	case len(e.Targets) == 0:
		return errors.New("evidence names no target")
	case e.OverSlots > 0:
		return errors.Errorf("%d requests were over the slots of their target", e.OverSlots)
	case len(e.Repeated) > 0:
		return errors.Errorf("%d keys ran more than once", len(e.Repeated))
	case len(e.Denied) > 0:
		return errors.Errorf("%d requests ran although their callers were told that they were not run", len(e.Denied))
	case len(e.OverConnections) > 0:
		return errors.Errorf("connection limit exceeded at %v", e.OverConnections)
	case failAfterDrain && e.AfterDrain > 0:
		return errors.Errorf("%d requests started after a drain order", e.AfterDrain)
	}
	return nil
}

// ReadEvidence fetches and sums up the evidence of the processes at the control addresses. notRun holds the tokens of
// the requests that were rejected as not run; targets record the tokens as keys.
func ReadEvidence(ctx context.Context, controls, notRun []string) (*EvidenceSummary, error) {
	summary := &EvidenceSummary{Denied: []string{}, OverConnections: []string{}, Repeated: map[string]int64{}}
	runs := map[string]int64{}
	for _, control := range controls {
		targets, err := fetchEvidence(ctx, control)
		if err != nil {
			return nil, errors.Annotatef(err, "evidence of %s", control)
		}
		for _, target := range targets {
			for key, count := range target.Runs {
				runs[key] += count
			}
			target.Runs = nil
			summary.add(target)
		}
	}
	summary.Keys = len(runs)
	for _, key := range notRun {
		if runs[key] > 0 {
			summary.Denied = append(summary.Denied, key)
		}
	}
	for key, count := range runs {
		if count > 1 {
			summary.Repeated[key] = count
		}
	}
	return summary, nil
}

// add adds the evidence of one target, except for its runs.
func (e *EvidenceSummary) add(target TargetEvidence) {
	e.AfterDrain += target.AfterDrain
	e.OverSlots += target.OverSlots
	e.Requests += target.Requests
	if target.ConnectionLimit > 0 && target.HighConnections > target.ConnectionLimit {
		e.OverConnections = append(e.OverConnections, target.Address)
	}
	e.Targets = append(e.Targets, target)
}

// fetchEvidence fetches the evidence of the targets of one process from its control API.
func fetchEvidence(ctx context.Context, control string) ([]TargetEvidence, error) {
	err := CheckLoopback(control)
	if err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+"/evidence?runs=1", nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", response.StatusCode)
	}
	var targets []TargetEvidence
	err = json.NewDecoder(io.LimitReader(response.Body, maxEvidenceBytes)).Decode(&targets)
	return targets, errors.Trace(err)
}
