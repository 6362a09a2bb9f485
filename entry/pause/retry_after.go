package pause

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// ParseRetryAfter returns the time of a Retry-After header in seconds, which may have a fraction. It returns 0 if the value is missing,
// negative or not a finite number; a date is not supported, because it needs synchronized clocks.
func ParseRetryAfter(value string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
