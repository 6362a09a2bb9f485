// Package start implements the main function of the programs, from the command line to the exit code.
package start
