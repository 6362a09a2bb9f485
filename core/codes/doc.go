// Package codes defines the numbered results that are reported to callers, operators and process managers.
package codes
