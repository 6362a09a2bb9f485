// Package e2e holds end-to-end tests: they run the programs as separate processes on loopback addresses and inject faults.
package e2e
