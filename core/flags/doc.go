// Package flags reads process settings from flags and EBONY_ environment variables and reports all faults at once.
package flags
