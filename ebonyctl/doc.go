// Command ebonyctl is the operators' command line for settings and for the state of the fleet.
package main
