package main

import (
	"encoding/json"
	"strings"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/core/event"
)

// logLine holds the fields of a log line. Which of them are set depends on the event. Times are in seconds.
type logLine struct {
	Attempts      int        `json:"attempts"`
	Busy          int        `json:"busy"`
	Code          codes.Code `json:"code"`
	Event         event.ID   `json:"event"`
	Expected      float64    `json:"expected"`
	Key           uint64     `json:"key"`
	KnownKey      bool       `json:"known_key"`
	Lines         int        `json:"lines"`
	OtherRegion   bool       `json:"other_region"`
	PastObjective float64    `json:"past_aim"`
	Ran           core.Ran   `json:"ran"`
	Reason        string     `json:"reason"`
	RequestID     string     `json:"request_id"`
	Route         string     `json:"route"`
	Self          string     `json:"self"`
	Service       string     `json:"service"`
	Slots         int        `json:"slots"`
	Target        string     `json:"target"`
	TotalTime     float64    `json:"took"`
}

// parseLine decodes a log line, which other columns may precede. It returns found=false if text contains no log line.
func parseLine(text string) (l logLine, found bool, err error) {
	start := strings.IndexByte(text, '{')
	if start < 0 || !strings.Contains(text[start:], `"event":`) {
		return logLine{}, false, nil
	}
	if err := json.Unmarshal([]byte(text[start:]), &l); err != nil {
		return logLine{}, false, errors.Annotatef(err, "decode log line %q", text)
	}
	return l, true, nil
}
