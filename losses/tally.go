package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/juju/errors"

	"ebonyrouter.dev/core/event"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// tableKey identifies a row of the table.
type tableKey struct {
	route string
	cause string
}

// tally counts finished requests by route and cause.
type tally struct {
	counts map[tableKey]int
	// droppedLines is the number of log lines that each host has dropped since its start.
	droppedLines map[string]int
	// locality holds the counts of each service.
	locality map[string]*locality
	// unfinished holds the requests whose end has not been read, by request ID.
	unfinished map[string]*request
	// totalTime is the sum of the times of the counted requests, in seconds.
	totalTime map[tableKey]float64
}

func newTally() *tally {
	return &tally{counts: map[tableKey]int{}, droppedLines: map[string]int{}, locality: map[string]*locality{}, unfinished: map[string]*request{}, totalTime: map[tableKey]float64{}}
}

// read adds all log lines of in and skips other text. It returns an error if a log line cannot be decoded.
func (t *tally) read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		l, found, err := parseLine(scanner.Text())
		if err != nil {
			return err
		}
		if found {
			t.add(&l)
		}
	}
	return errors.Annotate(scanner.Err(), "read the log")
}

// add applies one log line.
func (t *tally) add(l *logLine) {
	switch l.Event {
	case event.LinesDropped.ID:
		t.droppedLines[l.Self] = max(t.droppedLines[l.Self], l.Lines)
	case event.RequestPlaced.ID:
		t.request(l.RequestID).placed = l
		t.addLocality(l)
	case event.RequestRejected.ID:
		t.request(l.RequestID).rejected = l
	case event.RequestCompleted.ID:
		k := tableKey{l.Route, t.request(l.RequestID).cause(l)}
		t.counts[k]++
		t.totalTime[k] += l.TotalTime
		delete(t.unfinished, l.RequestID)
	}
}

// addLocality counts the choice of a target for a request with an affinity key.
func (t *tally) addLocality(l *logLine) {
	if l.Key == 0 {
		return
	}
	if t.locality[l.Service] == nil {
		t.locality[l.Service] = &locality{}
	}
	t.locality[l.Service].add(l)
}

// request returns the unfinished request with the given ID, and creates it if there is none.
func (t *tally) request(id string) *request {
	r, found := t.unfinished[id]
	if !found {
		r = &request{}
		t.unfinished[id] = r
	}
	return r
}

// write prints the counts in descending order, how often targets got keys that they had served, and the numbers of
// unfinished requests and of dropped log lines.
func (t *tally) write(out io.Writer) error {
	keys := slices.SortedFunc(maps.Keys(t.counts), func(a, b tableKey) int {
		return cmp.Or(cmp.Compare(t.counts[b], t.counts[a]), cmp.Compare(a.route, b.route), cmp.Compare(a.cause, b.cause))
	})
	text := "| route | end of the request | requests | mean seconds |\n|---|---|---|---|\n"
	for _, k := range keys {
		text += fmt.Sprintf("| %s | %s | %d | %.3f |\n", k.route, k.cause, t.counts[k], t.totalTime[k]/float64(t.counts[k]))
	}
	text += "\n" + localityTable(t.locality)
	dropped := 0
	for _, n := range t.droppedLines {
		dropped += n
	}
	text += fmt.Sprintf("\n%d requests without an end, %d lines left out by the hosts\n", len(t.unfinished), dropped)
	_, err := io.WriteString(out, text)
	return errors.Annotate(err, "write the table")
}
