package proxy

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

// requestIDPrefixBytes is the length of the random prefix that distinguishes processes; with 8 bytes, prefixes collide
// once in 2^32 processes.
const requestIDPrefixBytes = 8

// idGenerator generates request IDs that are unique across processes.
type idGenerator struct {
	count  atomic.Int64
	prefix string
}

func newIDGenerator() *idGenerator {
	var b [requestIDPrefixBytes]byte
	_, _ = rand.Read(b[:])
	return &idGenerator{prefix: hex.EncodeToString(b[:]) + "-"}
}

func (i *idGenerator) next() string {
	return i.prefix + strconv.FormatInt(i.count.Add(1), 36)
}
