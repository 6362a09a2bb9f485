package links

import "sync"

// Traffic counts frames and their bytes including frame headers.
type Traffic struct {
	Bytes  int64
	Frames int64
}

// trafficByTopic counts sent frames by topic. Topics are constants of the program, so the map is bounded.
type trafficByTopic struct {
	mu     sync.Mutex
	topics map[string]Traffic
}

func (t *trafficByTopic) add(topic string, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := t.topics[topic]
	sum.Bytes += int64(bytes)
	sum.Frames++
	t.topics[topic] = sum
}

func (t *trafficByTopic) get(topic string) Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.topics[topic]
}

func (t *trafficByTopic) total() Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum Traffic
	for _, c := range t.topics {
		sum.Bytes += c.Bytes
		sum.Frames += c.Frames
	}
	return sum
}
