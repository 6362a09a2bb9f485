// Package timer implements core.Timer on the boot-time clock and, for tests, on a clock that is advanced by hand.
package timer
