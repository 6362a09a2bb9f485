package main

import (
	"fmt"
	"strings"
)

// series holds the points of one unit of one benchmark.
type series []point

// String implements fmt.Stringer.String.
func (s series) String() string {
	texts := make([]string, len(s))
	for i, p := range s {
		texts[i] = fmt.Sprintf("%g: %.4g", p.x, p.y)
	}
	return strings.Join(texts, ", ")
}
