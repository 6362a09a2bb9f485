package place

import (
	"slices"
	"time"

	"ebonyrouter.dev/core"
)

const (
	// overdueFactor is the ratio of its age to its expected time from which a request without a response counts as overdue.
	overdueFactor = 1.5
	// minOverdue is the number of overdue requests that show that a target has become slow. A single one may have lost its
	// response.
	minOverdue = 2
)

// overdueSlowdown returns the slowdown of the target that its overdue requests show, or 0 if fewer than minOverdue are. Their
// responses would show it only later.
func (t *target) overdueSlowdown(now core.Instant) float64 {
	count, highest, second := 0, 0.0, 0.0
	for _, g := range t.outstanding {
		ratio := float64(now.Sub(g.sent)) / float64(max(time.Millisecond, g.choice.expected))
		if ratio < overdueFactor {
			continue
		}
		count++
		switch shown := ratio * g.choice.slowdown; {
		case shown > highest:
			highest, second = shown, highest
		case shown > second:
			second = shown
		}
	}
	if count < minOverdue {
		return 0
	}
	return second
}

// removeOutstanding removes a grant whose first outcome is known.
func (t *target) removeOutstanding(g *grant) {
	if i := slices.Index(t.outstanding, g); i >= 0 {
		t.outstanding = slices.Delete(t.outstanding, i, i+1)
	}
}
