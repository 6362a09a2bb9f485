// Command capacity reads the output of Go benchmarks on the standard input, fits a line through the points of each
// unit against the number of hosts, and prints a table with the value at a given size.
package main
