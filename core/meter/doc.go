// Package meter records latencies and counters with a bounded number of label values and serves them at /metrics.
package meter
