// Package wire encodes the messages between processes. A frame consists of the body length as a 4-byte big-endian number, a
// 1-byte kind and a msgpack body.
package wire
