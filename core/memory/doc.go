// Package memory bounds the memory and the connections that a process holds for clients that it does not control. Its limits derive
// from the memory and the descriptors of the host.
package memory
