// Package target keeps the list of registered targets and preserves it through store outages. Only the command
// platform uses it; in other deployments the targets are part of the settings.
package target
