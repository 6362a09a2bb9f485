package main

import (
	"fmt"

	"ebonyrouter.dev/core/codes"
)

// slowFactor is the ratio of actual to expected time above which a request counts as slower than expected.
const slowFactor = 1.5

// request collects the log lines of one caller's request before its end.
type request struct {
	// placed is the choice of the target of the latest attempt, or nil.
	placed *logLine
	// rejected is the rejection before any target, or nil.
	rejected *logLine
}

// cause returns the outcome of the request and, unless it met its latency objective, the reason. end is the last log line of
// the request.
func (r *request) cause(end *logLine) string {
	switch {
	case end.Code == codes.OK && end.PastObjective <= 0:
		return "in time"
	case end.Code == codes.OK:
		return "late: " + r.lateCause(end)
	case r.rejected != nil && r.placed == nil:
		return "refused: " + r.rejected.Reason
	default:
		return fmt.Sprintf("failed: code %d, ran %s", end.Code, end.Ran)
	}
}

// lateCause returns the reason why a successful request exceeded its latency objective.
func (r *request) lateCause(end *logLine) string {
	switch {
	case r.placed == nil:
		return "choice not in the log"
	case end.Attempts > 1:
		return "more than one attempt"
	case !r.placed.KnownKey && r.placed.OtherRegion:
		return "new key, other region"
	case !r.placed.KnownKey:
		return "new key"
	case r.placed.Busy >= r.placed.Slots:
		return "queue expected"
	case end.TotalTime > slowFactor*r.placed.Expected:
		return "slower than expected"
	case r.placed.OtherRegion:
		return "other region"
	default:
		return "as expected"
	}
}
