package proxy

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

// requestIDPrefixBytes makes the prefixes of two processes differ; 8 random bytes collide once in 2^32 processes.
const requestIDPrefixBytes = 8

// idGenerator makes request idGenerator that are unique among all processes.
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
