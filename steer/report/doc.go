// Package report collects the status of all hosts when an operator asks for it; hosts exchange no status otherwise.
package report
