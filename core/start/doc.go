// Package start runs a program from its command line to its exit code.
package start
