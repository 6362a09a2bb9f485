// Package meter records latencies and counts with a bounded number of label values and serves them as /metrics.
package meter
