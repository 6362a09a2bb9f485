package drive

import "github.com/juju/errors"

// Bounds are the conditions under which an experiment passes. Ratios and goodput are not checked if their bound is zero.
type Bounds struct {
	MaxErrors   int64
	MaxP50Ratio float64
	MaxP99Ratio float64
	MinGoodput  float64
	MinSuccess  int64
}

// Check returns an error that names the first violated bound; comparison may be nil.
func (b Bounds) Check(reports []*Report, comparison *Comparison) error {
	for _, r := range reports {
		switch {
		case r.Mismatches > 0:
			return errors.Errorf("%s: %d responses were not those of their requests", r.Mode, r.Mismatches)
		case r.Errors > b.MaxErrors:
			return errors.Errorf("%s: %d errors, at most %d are permitted", r.Mode, r.Errors, b.MaxErrors)
		case r.Successes < b.MinSuccess:
			return errors.Errorf("%s: %d successes, want at least %d", r.Mode, r.Successes, b.MinSuccess)
		case r.Goodput < b.MinGoodput:
			return errors.Errorf("%s: goodput %.1f/s, want at least %.1f/s", r.Mode, r.Goodput, b.MinGoodput)
		}
	}
	if comparison == nil {
		return nil
	}
	if b.MaxP50Ratio > 0 && comparison.P50 > b.MaxP50Ratio {
		return errors.Errorf("p50 ratio %.3f, at most %.3f is permitted", comparison.P50, b.MaxP50Ratio)
	}
	if b.MaxP99Ratio > 0 && comparison.P99 > b.MaxP99Ratio {
		return errors.Errorf("p99 ratio %.3f, at most %.3f is permitted", comparison.P99, b.MaxP99Ratio)
	}
	return nil
}
