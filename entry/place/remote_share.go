package place

import (
	"math"
	"time"

	"ebonyrouter.dev/core"
)

const (
	// remoteWindow is the period after which the permitted share is adjusted.
	remoteWindow = time.Second
	// idleWindows is the number of windows without requests after which the previous share no longer limits the next one.
	idleWindows = 4
	// driftPart and slackPart are the parts of Config.MaxRemoteStep by which the permitted share may change in a window, and by
	// which the requests of 2 s may deviate from it. Two consecutive spans of 2 s differ by at most two windows of drift, four
	// times the slack, and the excess that is forgotten meanwhile, which is 1 together.
	driftPart = 0.2
	slackPart = 0.12
	// followDriftPart and followSlackPart replace them while the permitted share is farther than followDistance from the wanted one.
	followDriftPart = 0.32
	followSlackPart = 0.06
	followDistance  = 0.03
	// freePart is the part of Config.MaxRemoteStep within which the permitted share counts as all. The share is one of the requests that
	// are sent: if the local targets take none, a permitted share of 0.94 would permit none elsewhere either.
	freePart = 0.8
	// excessDivisor is the factor by which the excess decreases in each window. Otherwise no request would be allowed in
	// another region for as long as the targets of the local one are full.
	excessDivisor = 2
	// minSlack is the deviation in requests that is always permitted, since a single request deviates by up to 1.
	minSlack = 1
	// wantedDivisor is the inverse of the weight of a window in the moving average of the wanted share.
	wantedDivisor = 3
)

// remoteShare limits how fast the share of requests served in other regions changes when load changes. Requests may deviate
// from the permitted share for a while, so that objects with a home in another region are not served elsewhere because of
// the random order of requests.
type remoteShare struct {
	// excess is the number of remote requests beyond the permitted share.
	excess float64
	// following means that the permitted share is far from the wanted one.
	following bool
	maxStep   float64
	// permitted is the share around which the requests are kept. It follows wanted.
	permitted float64
	start     core.Instant
	// unlimited is set after idleWindows without requests, because there is no recent share that the next one could be
	// compared with.
	unlimited bool
	// wanted is the moving average of the share of requests that would be served remotely without a limit.
	wanted float64
	// window counts the requests of the current window, and previousTotal is their number in the previous one.
	window        remoteCounts
	previousTotal int
}

// remoteCounts counts the requests of a window.
type remoteCounts struct {
	// forced counts the requests whose region could not be chosen.
	forced int
	remote int
	total  int
	// wanted counts the requests that were wanted to be remote, out of decided, which includes rejected ones.
	wanted  int
	decided int
}

// allowsRemote reports whether the next request may be served in another region.
func (s *remoteShare) allowsRemote() bool {
	return s.unlimited || s.permitted >= 1-freePart*s.maxStep || s.excess+1-s.permitted <= s.slack()
}

// requiresRemote reports whether the share would fall too fast if the next request were served in the local region.
func (s *remoteShare) requiresRemote() bool {
	return !s.unlimited && s.excess-s.permitted < -s.slack()
}

// pressure returns the deviation from the permitted share between -1 at the lower and 1 at the upper limit.
func (s *remoteShare) pressure() float64 {
	if s.unlimited {
		return 0
	}
	return min(1, max(-1, s.excess/s.slack()))
}

// slack returns the number of requests by which the remote ones may deviate from the permitted share.
func (s *remoteShare) slack() float64 {
	part := slackPart
	if s.following {
		part = followSlackPart
	}
	return max(minSlack, part*s.maxStep*2*float64(max(s.previousTotal, s.window.total)))
}

// decide counts a request that is wanted to be remote or not, whether or not it is rejected then.
func (s *remoteShare) decide(wanted bool) {
	s.window.decided++
	if wanted {
		s.window.wanted++
	}
}

// record counts a request that is sent: whether it is remote, and whether it could only be so.
func (s *remoteShare) record(remote, forced bool) {
	s.window.total++
	s.excess -= s.permitted
	if remote {
		s.window.remote++
		s.excess++
	}
	if forced {
		s.window.forced++
	}
	limit := s.slack() + 1
	s.excess = min(limit, max(-limit, s.excess))
}

// advance starts a new window if the current one has ended.
func (s *remoteShare) advance(now core.Instant) {
	if now.Sub(s.start) < remoteWindow {
		return
	}
	w, total := s.window, float64(s.window.total)
	s.excess /= excessDivisor
	switch {
	case w.total == 0:
		s.unlimited = s.unlimited || now.Sub(s.start) >= idleWindows*remoteWindow
	case s.unlimited, w.forced > 0:
		s.unlimited = false
		s.permitted, s.wanted, s.excess = float64(w.remote)/total, float64(w.remote)/total, 0
	default:
		s.wanted += (float64(w.wanted)/float64(w.decided) - s.wanted) / wantedDivisor
		s.following = math.Abs(s.wanted-s.permitted) > followDistance
		drift := driftPart * s.maxStep
		if s.following {
			drift = followDriftPart * s.maxStep
		}
		s.permitted += min(drift, max(-drift, s.wanted-s.permitted))
	}
	s.start, s.previousTotal, s.window = now, w.total, remoteCounts{}
}
