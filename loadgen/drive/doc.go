// Package drive sends bounded load to loopback addresses, verifies every response and reports what callers saw.
package drive
