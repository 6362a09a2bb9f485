package event

import (
	"fmt"
	"strings"
)

// Page returns the content of docs/LOG-EVENTS.md.
func Page() string {
	var page strings.Builder
	page.WriteString("# Log events\n\nGenerated from `core/event` by `go test ./core/event -update`. ")
	page.WriteString("Each log line carries the number in the field `event`.\n\n")
	page.WriteString("| event | level | message | meaning |\n|---|---|---|---|\n")
	for _, i := range All() {
		fmt.Fprintf(&page, "| %d | %s | %s | %s |\n", i.ID, i.Level, i.Message, i.Meaning)
	}
	return page.String()
}
