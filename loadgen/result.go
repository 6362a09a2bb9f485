package main

import "ebonyrouter.dev/loadgen/drive"

// result is the JSON output of the run command.
type result struct {
	Comparison *drive.Comparison `json:"comparison,omitempty"`
	Failure    string            `json:"failure,omitempty"`
	Reports    []*drive.Report   `json:"reports"`
}
