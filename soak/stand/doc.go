// Package stand contains stand-ins of the platform's store and of targets, which follow the platform's protocol.
package stand
