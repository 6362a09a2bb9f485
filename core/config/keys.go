package config

import (
	"fmt"

	"ebonyrouter.dev/core"
)

// acceptedKey returns the key of the copy of an accepted head, which is written before a later revision replaces it.
func acceptedKey(revision int64) string {
	return fmt.Sprintf("%s%d/accepted", core.KeySettingsPrefix, revision)
}

// partKey returns the key of one part of the content of a change. The key contains the change ID, so that the parts of
// operators who concurrently write the same revision never mix.
func partKey(head core.SettingsHead, part int) string {
	return fmt.Sprintf("%s%d/%s/%d", core.KeySettingsPrefix, head.Revision, head.ChangeID, part)
}
