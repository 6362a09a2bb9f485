package main

// point is one measured value y at x hosts.
type point struct {
	x float64
	y float64
}
