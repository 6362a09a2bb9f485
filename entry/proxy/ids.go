package proxy

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

// idPrefixBytes makes the prefixes of two processes differ; 8 random bytes collide once in 2^32 processes.
const idPrefixBytes = 8

// ids makes request ids that are unique among all processes.
type ids struct {
	count  atomic.Int64
	prefix string
}

func newIDs() *ids {
	var b [idPrefixBytes]byte
	_, _ = rand.Read(b[:])
	return &ids{prefix: hex.EncodeToString(b[:]) + "-"}
}

func (i *ids) next() string {
	return i.prefix + strconv.FormatInt(i.count.Add(1), 36)
}
