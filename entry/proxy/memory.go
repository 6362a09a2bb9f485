package proxy

import (
	"math"
	"sync/atomic"
)

// heldClosed is the value of a request's held bytes after its end, from which no sum of reservations returns to a positive number.
const heldClosed = math.MinInt64 / 2

// heldMemory counts the bytes that are reserved for a request.
type heldMemory struct {
	bytes atomic.Int64
}

// reserve counts bytes that are about to be held for a request until its end, or returns false if the budget does not permit them.
func (p *Proxy) reserve(req *request, bytes int64) bool {
	if p.Memory == nil || bytes <= 0 {
		return true
	}
	if !p.Memory.Reserve(bytes) {
		return false
	}
	if req.held.bytes.Add(bytes) < 0 {
		// An attempt that was given up has outlived the request.
		p.Memory.Release(bytes)
		return false
	}
	return true
}

// releaseAll returns what is reserved for a request at its end.
func (p *Proxy) releaseAll(req *request) {
	if p.Memory != nil {
		p.Memory.Release(req.held.bytes.Swap(heldClosed))
	}
}

// bufferedBytes returns the memory that the buffered part of the body needs, in bytes.
func (r *request) bufferedBytes() int64 {
	limit := int64(maxBufferedBodyBytes)
	if r.key != "" {
		limit = maxKeyedBodyBytes
	}
	switch size := r.incoming.ContentLength; {
	case size < 0:
		// The buffer doubles until it holds the body, whose length is not known.
		return min(limit, r.policy.RequestBodyBytes)
	case size > limit:
		return 0
	default:
		return size
	}
}
