package main

// point is one measurement.
type point struct {
	x float64
	y float64
}
