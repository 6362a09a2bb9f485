package meter

import "sync"

// bounded admits the first max distinct label values and maps all later ones to Other.
type bounded struct {
	max    int
	mu     sync.RWMutex
	values map[string]string
}

func newBounded(n int) *bounded {
	return &bounded{max: n, values: map[string]string{}}
}

func (b *bounded) value(text string) string {
	b.mu.RLock()
	known, ok := b.values[text]
	full := len(b.values) >= b.max
	b.mu.RUnlock()
	switch {
	case ok:
		return known
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
