package main

import "ebonyrouter.dev/loadgen/drive"

// result is the JSON output of the run command; Failure names the first violated bound.
type result struct {
	Comparison *drive.Comparison `json:"comparison,omitempty"`
	Failure    string            `json:"failure,omitempty"`
	Reports    []*drive.Report   `json:"reports"`
}
