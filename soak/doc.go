// Soak runs the platform's program as separate processes on loopback, disturbs them by a plan that follows from a seed, and checks
// what callers and targets see.
package main
