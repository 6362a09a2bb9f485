// Package retry bounds retries and hedges to a share of recent first attempts.
package retry
