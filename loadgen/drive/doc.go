// Package drive sends bounded load to loopback addresses, verifies every response and reports the outcomes.
package drive
