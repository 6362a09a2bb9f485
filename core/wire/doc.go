// Package wire frames and encodes the messages between processes: a 4-byte big-endian body length, a 1-byte kind and a
// msgpack body.
package wire
