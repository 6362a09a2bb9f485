package fanout

import (
	"crypto/sha256"

	"ebonyrouter.dev/core"
)

const (
	// keptSteps bounds the versions that a host may be behind to get changes instead of a whole document; the removal of a
	// zone's members makes many versions in a second.
	keptSteps = 32
	// patchGain is the factor by which a patch must be smaller than the content.
	patchGain = 4
)

// step is the change from one version of a document to a later one that this process took over directly after it.
type step struct {
	from, to int64
	patch    []byte
}

// nextSteps returns the kept steps after a document replaced another one.
func nextSteps(steps []step, old, next core.Document) []step {
	if old.Version == 0 {
		return nil
	}
	s := step{from: old.Version, patch: diff(old.Content, next.Content), to: next.Version}
	if len(s.patch)*patchGain > len(next.Content) {
		return nil
	}
	steps = append(steps, s)
	size := 0
	for i := len(steps) - 1; i >= 0; i-- {
		size += len(steps[i].patch)
		if len(steps)-i > keptSteps || size*patchGain > len(next.Content) {
			return append([]step{}, steps[i+1:]...)
		}
	}
	return steps
}

// patchesFrom returns the patches that lead from a version to the newest one, or nil.
func patchesFrom(steps []step, version int64) [][]byte {
	var patches [][]byte
	for _, s := range steps {
		if s.from == version || len(patches) > 0 {
			patches = append(patches, s.patch)
		}
	}
	return patches
}

// patched returns the document that the change leads to; its content must have the stated checksum.
func patched(base core.Document, change core.DocumentChange) (core.Document, error) {
	if change.Base != base.Version {
		return core.Document{}, errPatch
	}
	content := base.Content
	for _, patch := range change.Patches {
		var err error
		if content, err = apply(content, patch); err != nil {
			return core.Document{}, err
		}
	}
	if sum := sha256.Sum256(content); string(sum[:]) != string(change.Sum) {
		return core.Document{}, errPatch
	}
	return core.Document{Content: content, Name: base.Name, Version: change.Version}, nil
}
