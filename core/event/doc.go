// Package event defines the numbered log events of all processes and writes them through zap.
package event
