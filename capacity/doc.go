// Command capacity reads the output of Go benchmarks from standard input, fits a line to the values of each unit against the
// number of hosts, and prints a table with the value extrapolated to a given number of hosts.
package main
