// Package e2e tests the programs together as separate processes on loopback, with faults.
package e2e
