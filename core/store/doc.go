// Package store implements core.Store over HTTP and in memory, with read-only, debug and dry-run variants.
package store
