package place

const (
	// recallWidth is the number of neighboring distances that share an estimate.
	recallWidth = 4
	// recallDivisor and missDivisor are the inverse weights of a new sample in the moving averages.
	recallDivisor = 12
	missDivisor   = 32
	// presumedMemory is the number of keys that targets are assumed to remember until their response times show it.
	presumedMemory = 16
	// presumedRecall and presumedRecallBeyond are the initial probabilities that a target knows a key within and beyond
	// presumedMemory.
	presumedRecall       = 0.95
	presumedRecallBeyond = 0.5
)

// recall estimates from response times how many affinity keys the targets of a service remember.
type recall struct {
	// byDistance holds the probability that a target knows a key that this host sent there, by ranges of its distance.
	byDistance [recentKeysSize / recallWidth]float64
	// byPlace holds the probability that a target knows a key that this host has not sent there, because another host has,
	// by the target's place for the key. The last element is for targets that are not a place of the key.
	byPlace [maxPlaces + 1]float64
	// missShare is the share of requests whose target had forgotten the key since this host sent it there. It grows if
	// too many keys are sent to each target.
	missShare float64
}

// newRecall returns the estimates without measurements.
func newRecall() *recall {
	r := &recall{byPlace: [maxPlaces + 1]float64{0.5, 0.1, 0.05, 0}}
	for i := range r.byDistance {
		r.byDistance[i] = presumedRecall
		if i*recallWidth >= presumedMemory {
			r.byDistance[i] = presumedRecallBeyond
		}
	}
	return r
}

// probability returns the probability that a target knows a key. It never increases with the distance.
func (r *recall) probability(place, distance int) float64 {
	if distance == unseen {
		return r.byPlace[place]
	}
	lowest := 1.0
	for _, p := range r.byDistance[:distance/recallWidth+1] {
		lowest = min(lowest, p)
	}
	return lowest
}

// record adds whether a target knew a key.
func (r *recall) record(place, distance int, known bool) {
	sample := 0.0
	if known {
		sample = 1
	}
	if distance == unseen {
		r.byPlace[place] += (sample - r.byPlace[place]) / recallDivisor
		return
	}
	estimate := &r.byDistance[distance/recallWidth]
	*estimate += (sample - *estimate) / recallDivisor
	r.missShare += (1 - sample - r.missShare) / missDivisor
}
