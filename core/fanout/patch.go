package fanout

import (
	"bytes"
	"encoding/binary"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

const (
	// patchBlock is the length of the pieces by which parts of the old content are found in the new one.
	patchBlock = 32
	// maxVarint is the longest encoding of one number of a patch.
	maxVarint = binary.MaxVarintLen64
)

// errPatch means that a patch does not fit its base.
const errPatch = errors.ConstError("patch does not fit")

// diff returns the changes that turn old into next: pieces of new bytes, each followed by a copied range of old.
func diff(old, next []byte) []byte {
	blocks := make(map[[patchBlock]byte]int, len(old)/patchBlock)
	for at := 0; at+patchBlock <= len(old); at += patchBlock {
		blocks[[patchBlock]byte(old[at:])] = at
	}
	var patch []byte
	fresh := 0
	for at := 0; at+patchBlock <= len(next); {
		from, ok := blocks[[patchBlock]byte(next[at:])]
		if !ok {
			at++
			continue
		}
		start := at
		for start > fresh && from > 0 && old[from-1] == next[start-1] {
			start--
			from--
		}
		length := common(old[from:], next[start:])
		patch = appendPiece(patch, next[fresh:start], from, length)
		at = start + length
		fresh = at
	}
	return appendPiece(patch, next[fresh:], 0, 0)
}

// appendPiece adds new bytes and a range of the old content.
func appendPiece(patch, fresh []byte, from, length int) []byte {
	patch = binary.AppendUvarint(patch, uint64(len(fresh)))
	patch = append(patch, fresh...)
	patch = binary.AppendUvarint(patch, uint64(from))
	return binary.AppendUvarint(patch, uint64(length))
}

// common returns the length of the common start of a and b.
func common(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// apply returns the content that diff made the patch for.
func apply(old, patch []byte) ([]byte, error) {
	var next bytes.Buffer
	for len(patch) > 0 {
		fresh, rest, err := number(patch, len(patch))
		if err != nil || fresh > len(rest) {
			return nil, errors.Annotatef(errPatch, "%d new bytes", fresh)
		}
		next.Write(rest[:fresh])
		from, rest, err := number(rest[fresh:], len(old))
		if err != nil {
			return nil, errors.Trace(err)
		}
		var length int
		if length, patch, err = number(rest, len(old)-from); err != nil {
			return nil, errors.Trace(err)
		}
		if next.Len()+length > core.MaxDocumentBytes {
			return nil, errors.Annotatef(errPatch, "more than %d bytes", core.MaxDocumentBytes)
		}
		next.Write(old[from : from+length])
	}
	return next.Bytes(), nil
}

// number returns the next number of a patch, which is at most limit, and the rest.
func number(patch []byte, limit int) (int, []byte, error) {
	n, size := binary.Uvarint(patch)
	if size <= 0 || size > maxVarint || n > uint64(limit) {
		return 0, nil, errors.Annotatef(errPatch, "number %d of at most %d", n, limit)
	}
	return int(n), patch[size:], nil
}
