package place

import "time"

// coldRateFactor is the share of the permitted rate of a cold target that is used.
const coldRateFactor = 0.9

// coldSender returns the only host of a region that sends requests to a cold target. It is the one with the highest
// rendezvous hash, so that hosts with the same list of hosts agree without exchanging messages.
func coldSender(target string, hosts []string) string {
	best, highest := "", uint64(0)
	for _, host := range hosts {
		if h := hash(target, host); best == "" || h > highest {
			best, highest = host, h
		}
	}
	return best
}

// coldInterval returns the time between two requests to a cold target whose permitted rate is perSecond.
func coldInterval(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return time.Second
	}
	return time.Duration(float64(time.Second) / (perSecond * coldRateFactor))
}
