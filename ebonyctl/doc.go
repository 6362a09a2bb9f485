// Command ebonyctl is the command line for operators. It edits the settings and shows the state of the fleet.
package main
