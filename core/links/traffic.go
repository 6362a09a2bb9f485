package links

import "sync"

// Traffic counts the frames of one topic and their bytes with frame headers.
type Traffic struct {
	Bytes  int64
	Frames int64
}

// traffic counts the frames that were sent, by topic; topics are constants of the program, so the map is bounded.
type traffic struct {
	mu     sync.Mutex
	topics map[string]Traffic
}

func (t *traffic) add(topic string, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := t.topics[topic]
	sum.Bytes += int64(bytes)
	sum.Frames++
	t.topics[topic] = sum
}

func (t *traffic) get(topic string) Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.topics[topic]
}

func (t *traffic) total() Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum Traffic
	for _, one := range t.topics {
		sum.Bytes += one.Bytes
		sum.Frames += one.Frames
	}
	return sum
}
