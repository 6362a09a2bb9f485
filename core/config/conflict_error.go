package config

import (
	"fmt"
	"strings"

	"ebonyrouter.dev/core"
)

// maxListed limits the differences of each side that the text of a conflict lists, because two block maps may differ in
// hundreds of thousands of entries.
const maxListed = 1000

// ConflictError means that another change was accepted first and no part of this change is in force.
type ConflictError struct {
	Base int64
	Head core.SettingsHead
	// Mine lists the differences of this change from Base, Theirs those of the accepted revision Head from Base.
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

// list writes the differences of one side, at most maxListed of them.
func list(b *strings.Builder, side string, differences []Difference) {
	for i, d := range differences {
		if i == maxListed {
			fmt.Fprintf(b, "\n%s %d more", side, len(differences)-maxListed)
			return
		}
		fmt.Fprintf(b, "\n%s %s", side, d)
	}
}
