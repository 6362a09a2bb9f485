// Package event numbers the log events of all processes and writes them through zap.
package event
