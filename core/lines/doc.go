// Package lines writes log lines without blocking the caller and limits their rate.
package lines
