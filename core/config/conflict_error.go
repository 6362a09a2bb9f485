package config

import (
	"fmt"
	"strings"

	"ebonyrouter.dev/core"
)

// maxListed is the number of differences of each side that the text of a conflict lists; two block maps may differ in
// hundreds of thousands.
const maxListed = 1000

// ConflictError means that another change was accepted first and nothing of this one is in force.
type ConflictError struct {
	Base int64
	Head core.SettingsHead
	// Mine is what this change would have changed in Base, Theirs what the accepted revisions changed.
	Mine   []Difference
	Theirs []Difference
}

// Error implements error.Error.
func (c *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "revision %d by %s was accepted first; the change was based on revision %d", c.Head.Revision, c.Head.Author, c.Base)
	list(&b, "theirs", c.Theirs)
	list(&b, "mine", c.Mine)
	return b.String()
}

// list adds the first differences of one side.
func list(b *strings.Builder, side string, differences []Difference) {
	for i, d := range differences {
		if i == maxListed {
			fmt.Fprintf(b, "\n%s %d more", side, len(differences)-maxListed)
			return
		}
		fmt.Fprintf(b, "\n%s %s", side, d)
	}
}
