// Package flags reads process settings from flags and EBONY_ environment variables and reports all invalid ones at once.
package flags
