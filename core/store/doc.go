// Package store implements core.Store over HTTP and in memory, with read-only, logging and dry-run wrappers.
package store
