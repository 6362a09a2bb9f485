// Command losses reads the log lines of entry hosts and counts, for each route, why requests were refused, failed or exceeded
// their latency objective. For each service it counts how often targets got affinity keys that they had served before.
package main
