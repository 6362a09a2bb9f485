// Package admin serves the administration API, health, readiness and metrics of a process.
package admin
