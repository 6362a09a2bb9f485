package rank

// kind holds the requests of one priority of a service.
type kind struct {
	customers map[string]*customer
	// offered is the sum of the rates of its customers, and members are those as of the last window.
	offered  float64
	members  []*customer
	priority int64
	share    float64
	// urgent means that the share is higher than that of a less urgent rank.
	urgent bool
}

// divide divides a rate among the customers. What they send up to their fair rate comes first, and each gets the same share of that;
// the rest is divided in proportion to their excess. Each gets at least the given share. If a service has one rank only, and no
// customer exceeds its fair rate, nobody is preferred and targets decide.
func (k *kind) divide(rate, least float64, single bool) {
	k.share = 1
	if k.offered > 0 {
		k.share = min(1, rate/k.offered)
	}
	fair := 0.0
	for _, c := range k.members {
		fair += c.fair()
	}
	share, excess := 1.0, 0.0
	switch {
	case fair > rate:
		share = rate / fair
	case k.offered > fair:
		excess = min(1, (rate-fair)/(k.offered-fair))
	}
	for _, c := range k.members {
		c.share = 1
		f := c.fair()
		switch {
		case c.offered > f:
			c.share = max(least, min(1, (share*f+excess*(c.offered-f))/c.offered))
		case !single:
			c.share = max(least, share)
		}
	}
}
