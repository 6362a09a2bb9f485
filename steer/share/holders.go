package share

import (
	"maps"
	"slices"
	"strings"

	"ebonyrouter.dev/core"
)

// nextHolders returns the processes that the next record names: those that may hold shares or have asked for the first time.
func (e *Elector) nextHolders(now core.Instant) map[holderKey]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := maps.Clone(e.pending)
	if e.book != nil {
		maps.Copy(all, e.book.holders(now))
	}
	maps.Copy(all, e.inherited)
	return all
}

// formatHolders returns the form of holders in the record.
func formatHolders(holders map[holderKey]bool) string {
	texts := make([]string, 0, len(holders))
	for key := range holders {
		texts = append(texts, key.host+"/"+key.incarnation)
	}
	slices.Sort(texts)
	return strings.Join(texts, ",")
}

// parseHolders is the inverse of formatHolders. A malformed entry names a process that nobody replaces, so that a successor waits for the
// end of its shares.
func parseHolders(text string) map[holderKey]bool {
	holders := map[holderKey]bool{}
	if text == "" {
		return holders
	}
	for entry := range strings.SplitSeq(text, ",") {
		host, incarnation, _ := strings.Cut(entry, "/")
		holders[holderKey{host, incarnation}] = true
	}
	return holders
}
