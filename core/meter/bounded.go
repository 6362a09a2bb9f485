package meter

import "sync"

// bounded accepts the first max distinct label values and maps all others to Other.
type bounded struct {
	max    int
	mu     sync.RWMutex
	values map[string]string
}

func newBounded(limit int) *bounded {
	return &bounded{max: limit, values: map[string]string{}}
}

// value returns text if it is one of the accepted values or can still be accepted, and Other if not.
func (b *bounded) value(text string) string {
	b.mu.RLock()
	value, found := b.values[text]
	full := len(b.values) >= b.max
	b.mu.RUnlock()
	switch {
	case found:
		return value
	case full || len(text) > maxLabelBytes:
		return Other
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.values) >= b.max {
		return Other
	}
	b.values[text] = text
	return text
}
