package main

import (
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// benchmarkName matches the name of a sub-benchmark for one number of hosts, such as BenchmarkSteady/hosts=8-10.
var benchmarkName = regexp.MustCompile(`^Benchmark(\w+)/hosts=(\d+)(-\d+)?$`)

// seriesSet maps the names of benchmark and unit, such as "Steady B/s", to their series.
type seriesSet map[string]series

// add parses one line of output and adds its points, except for the time per operation. It ignores lines of other forms.
func (s seriesSet) add(text string) {
	fields := strings.Fields(text)
	if len(fields) < 4 {
		return
	}
	match := benchmarkName.FindStringSubmatch(fields[0])
	if match == nil {
		return
	}
	x, err := strconv.ParseFloat(match[2], 64)
	if err != nil {
		return
	}
	for i := 2; i+1 < len(fields); i += 2 {
		y, err := strconv.ParseFloat(fields[i], 64)
		if unit := fields[i+1]; err == nil && unit != "ns/op" {
			name := match[1] + " " + unit
			s[name] = append(s[name], point{x: x, y: y})
		}
	}
}

func (s seriesSet) names() []string {
	return slices.Sorted(maps.Keys(s))
}
