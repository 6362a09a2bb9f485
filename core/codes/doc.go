// Package codes numbers the results that callers, operators and process managers see.
package codes
