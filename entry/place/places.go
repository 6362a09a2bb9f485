package place

import (
	"slices"

	"ebonyrouter.dev/core"
)

const (
	// maxPlaces is the number of targets among which the requests with one affinity key are divided.
	maxPlaces = 3
	// maxVisited is the number of targets of a ring that are visited to find the usable ones.
	maxVisited = 8
	// maxSteps is the number of points of a ring that are visited, which belong to few targets in a small region.
	maxSteps = 64
)

// places are the usable targets that all hosts prefer for an affinity key, in this order. The places after the first one
// are used if the earlier ones have no room.
type places struct {
	count   int
	targets [maxPlaces]*target
	// offsets holds the distances of the targets' points from the position of the key.
	offsets [maxPlaces]uint64
}

// usable returns the targets in the order of their places.
func (l *places) usable() []*target {
	return l.targets[:l.count]
}

// insert adds a target at its place in the order of the offsets and drops the last one of more than maxPlaces.
func (l *places) insert(t *target, offset uint64) {
	i := l.count
	if i == maxPlaces {
		i--
		if l.offsets[i] <= offset {
			return
		}
	} else {
		l.count++
	}
	for ; i > 0 && l.offsets[i-1] > offset; i-- {
		l.targets[i], l.offsets[i] = l.targets[i-1], l.offsets[i-1]
	}
	l.targets[i], l.offsets[i] = t, offset
}

// addPlaces adds the first usable targets of a part of a service.
func (p *Placer) addPlaces(l *places, s *service, part *regionTargets, request *core.AdmitRequest, key uint64, now core.Instant) {
	var visited [maxVisited]*target
	r := s.ringOf(part)
	walk := r.Walk(key)
	count, found := 0, 0
	for range min(maxSteps, r.Len()) {
		member, offset := walk.Next()
		next := part.targets[member]
		if slices.Contains(visited[:count], next) {
			continue
		}
		visited[count] = next
		count++
		if p.usable(next, request, now) {
			l.insert(next, offset)
			found++
		}
		if found == maxPlaces || count == maxVisited {
			return
		}
	}
}
