package place

import (
	"math"
	"time"

	"ebonyrouter.dev/core"
)

const (
	// workTimeDecay is the age at which a reported work time has lost 63% of its weight. Targets share their machines with others,
	// whose load comes and goes several times a second.
	workTimeDecay = 250 * time.Millisecond
	// usualWorkPercent is the reported work time of a machine without other load.
	usualWorkPercent = 100
	// maxWorkFactor bounds the factor that a target may report.
	maxWorkFactor = 20
)

// workTime is the newest report of a target of how long work takes on its machine, relative to the usual time. The zero value stands
// for a target that reports none.
type workTime struct {
	factor     float64
	reportedAt core.Instant
}

// record applies the report of a response; a target that reports nothing keeps the earlier one.
func (w *workTime) record(now core.Instant, percent int) {
	if percent <= 0 {
		return
	}
	w.factor, w.reportedAt = min(maxWorkFactor, float64(percent)/usualWorkPercent), now
}

// current returns the expected factor, which approaches 1 as the report ages.
func (w *workTime) current(now core.Instant) float64 {
	if w.factor == 0 {
		return 1
	}
	return 1 + (w.factor-1)*math.Exp(-float64(now.Sub(w.reportedAt))/float64(workTimeDecay))
}
