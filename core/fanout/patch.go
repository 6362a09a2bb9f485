package fanout

import (
	"bytes"
	"encoding/binary"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

const (
	// patchBlock is the length in bytes of the blocks of the old content that are searched for in the new content.
	patchBlock = 32
	// maxNumberBytes is the length of the longest encoding of a number in a patch.
	maxNumberBytes = binary.MaxVarintLen64
)

// errPatchMismatch means that a patch does not fit its base or is damaged.
const errPatchMismatch = errors.ConstError("patch does not fit its base")

// diff returns a patch that turns old into next. A patch is a sequence of segments; each consists of literal bytes and a
// range that is copied from old.
func diff(old, next []byte) []byte {
	blocks := make(map[[patchBlock]byte]int, len(old)/patchBlock)
	for pos := 0; pos+patchBlock <= len(old); pos += patchBlock {
		blocks[[patchBlock]byte(old[pos:])] = pos
	}
	var patch []byte
	literalStart := 0
	for pos := 0; pos+patchBlock <= len(next); {
		from, ok := blocks[[patchBlock]byte(next[pos:])]
		if !ok {
			pos++
			continue
		}
		start := pos
		for start > literalStart && from > 0 && old[from-1] == next[start-1] {
			start--
			from--
		}
		length := commonPrefix(old[from:], next[start:])
		patch = appendSegment(patch, next[literalStart:start], from, length)
		pos = start + length
		literalStart = pos
	}
	return appendSegment(patch, next[literalStart:], 0, 0)
}

// appendSegment appends a segment of literal bytes and a range of the old content to patch.
func appendSegment(patch, literal []byte, from, length int) []byte {
	patch = binary.AppendUvarint(patch, uint64(len(literal)))
	patch = append(patch, literal...)
	patch = binary.AppendUvarint(patch, uint64(from))
	return binary.AppendUvarint(patch, uint64(length))
}

// commonPrefix returns the length of the common prefix of a and b.
func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// applyPatch returns the content that results from applying a patch made by diff to old.
func applyPatch(old, patch []byte) ([]byte, error) {
	var next bytes.Buffer
	for len(patch) > 0 {
		literalLength, remaining, err := readNumber(patch, len(patch))
		if err != nil || literalLength > len(remaining) {
			return nil, errors.Annotatef(errPatchMismatch, "%d literal bytes", literalLength)
		}
		next.Write(remaining[:literalLength])
		from, remaining, err := readNumber(remaining[literalLength:], len(old))
		if err != nil {
			return nil, errors.Trace(err)
		}
		var length int
		if length, patch, err = readNumber(remaining, len(old)-from); err != nil {
			return nil, errors.Trace(err)
		}
		if next.Len()+length > core.MaxDocumentBytes {
			return nil, errors.Annotatef(errPatchMismatch, "more than %d bytes", core.MaxDocumentBytes)
		}
		next.Write(old[from : from+length])
	}
	return next.Bytes(), nil
}

// readNumber returns the first number of a patch, which must not exceed limit, and the remaining patch.
func readNumber(patch []byte, limit int) (int, []byte, error) {
	n, size := binary.Uvarint(patch)
	if size <= 0 || size > maxNumberBytes || n > uint64(limit) {
		return 0, nil, errors.Annotatef(errPatchMismatch, "number %d, want at most %d", n, limit)
	}
	return int(n), patch[size:], nil
}
