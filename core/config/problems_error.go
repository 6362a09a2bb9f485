package config

import (
	"fmt"
	"sort"
	"strings"
)

// ProblemsError lists every problem of a settings tree, ordered by path.
type ProblemsError struct {
	Problems []Problem
}

// Error implements error.Error.
func (p *ProblemsError) Error() string {
	lines := make([]string, 0, len(p.Problems))
	for _, problem := range p.Problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// add records a problem unless one with the same path exists, because later problems of a path follow from the first.
func (p *ProblemsError) add(path, format string, args ...any) {
	for _, known := range p.Problems {
		if known.Path == path {
			return
		}
	}
	p.Problems = append(p.Problems, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

// result returns nil if there is no problem.
func (p *ProblemsError) result() error {
	if len(p.Problems) == 0 {
		return nil
	}
	sort.Slice(p.Problems, func(i, j int) bool { return p.Problems[i].Path < p.Problems[j].Path })
	return p
}
