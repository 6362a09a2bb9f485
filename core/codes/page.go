package codes

import (
	"fmt"
	"strings"
)

// Page returns the content of docs/RESULT-CODES.md.
func Page() string {
	var page strings.Builder
	page.WriteString("# Result codes\n\nGenerated from `core/codes` by `go test ./core/codes -update`.\n\n")
	page.WriteString("| code | name | meaning | what to do |\n|---|---|---|---|\n")
	for _, i := range All() {
		fmt.Fprintf(&page, "| %d | `%s` | %s | %s |\n", i.Code, i.Name, i.Meaning, i.Action)
	}
	return page.String()
}
