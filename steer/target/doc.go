// Package target keeps the list of registered targets and preserves it through store outages.
package target
