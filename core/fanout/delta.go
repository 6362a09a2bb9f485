package fanout

import (
	"crypto/sha256"

	"ebonyrouter.dev/core"
)

const (
	// maxDeltas limits how many versions a host can be behind and still receive changes instead of the whole document. The
	// removal of the members of a zone creates many versions within a second.
	maxDeltas = 32
	// minPatchRatio is the factor by which the patches together must be smaller than the content.
	minPatchRatio = 4
)

// delta is the patch from one version of a document to the next version that this process accepted.
type delta struct {
	from, to int64
	patch    []byte
}

// appendDelta returns the deltas to keep after next has replaced old: the newest ones within the limits of their number
// and size, or nil if there is no old document or its patch is too large.
func appendDelta(deltas []delta, old, next core.Document) []delta {
	if old.Version == 0 {
		return nil
	}
	d := delta{from: old.Version, patch: diff(old.Content, next.Content), to: next.Version}
	if len(d.patch)*minPatchRatio > len(next.Content) {
		return nil
	}
	deltas = append(deltas, d)
	size := 0
	for i := len(deltas) - 1; i >= 0; i-- {
		size += len(deltas[i].patch)
		if len(deltas)-i > maxDeltas || size*minPatchRatio > len(next.Content) {
			return append([]delta{}, deltas[i+1:]...)
		}
	}
	return deltas
}

// patchesFrom returns the patches from a version to the newest one, or nil if the version is not among the deltas.
func patchesFrom(deltas []delta, version int64) [][]byte {
	var patches [][]byte
	for _, d := range deltas {
		if d.from == version || len(patches) > 0 {
			patches = append(patches, d.patch)
		}
	}
	return patches
}

// applyChange returns the document that results from applying change to base; its content must have the checksum of change.
func applyChange(base core.Document, change core.DocumentChange) (core.Document, error) {
	if change.Base != base.Version {
		return core.Document{}, errPatchMismatch
	}
	content := base.Content
	for _, patch := range change.Patches {
		var err error
		if content, err = applyPatch(content, patch); err != nil {
			return core.Document{}, err
		}
	}
	if sum := sha256.Sum256(content); string(sum[:]) != string(change.Sum) {
		return core.Document{}, errPatchMismatch
	}
	return core.Document{Content: content, Name: base.Name, Version: change.Version}, nil
}
