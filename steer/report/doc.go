// Package report gathers the status of all hosts on an operator's request; nothing is exchanged without one.
package report
