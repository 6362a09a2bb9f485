// Package heads limits the size of message heads.
package heads
