package main

import "math"

// line is y = base + slope*x; residual is the root mean square of the vertical distances of the points from it.
type line struct {
	base     float64
	residual float64
	slope    float64
}

// fit returns the least-squares line through the points.
func fit(points series) line {
	n := float64(len(points))
	var x, y, xx, xy float64
	for _, p := range points {
		x += p.x
		y += p.y
		xx += p.x * p.x
		xy += p.x * p.y
	}
	var l line
	if d := n*xx - x*x; d != 0 {
		l.slope = (n*xy - x*y) / d
	}
	l.base = (y - l.slope*x) / n
	var squares float64
	for _, p := range points {
		squares += (p.y - l.valueAt(p.x)) * (p.y - l.valueAt(p.x))
	}
	l.residual = math.Sqrt(squares / n)
	return l
}

// valueAt returns the value of the line at x.
func (l line) valueAt(x float64) float64 {
	return l.base + l.slope*x
}
