// Command losses reads the log lines of entry hosts and counts, for each route, why requests were refused, failed or exceeded
// their latency objective.
package main
