// Package timer implements core.Timer on the boot-time clock and, for tests, on a manually advanced clock.
package timer
