package config

import (
	"fmt"

	"ebonyrouter.dev/core"
)

// acceptedKey names the copy of the head of an accepted revision, kept once a later revision replaces it.
func acceptedKey(revision int64) string {
	return fmt.Sprintf("%s%d/accepted", core.KeySettingsPrefix, revision)
}

// partKey names one part of the content of a change. The change id keeps operators who write the same revision
// number at once apart, so that the loser's parts never mix with the winner's.
func partKey(head core.SettingsHead, part int) string {
	return fmt.Sprintf("%s%d/%s/%d", core.KeySettingsPrefix, head.Revision, head.ChangeID, part)
}
