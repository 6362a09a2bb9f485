package place

import (
	"time"

	"ebonyrouter.dev/core"
)

const (
	// remoteWindow is the period over which the share of requests served in other regions is measured.
	remoteWindow = time.Second
	// remoteSteps is the number of windows within which the share may change by Config.MaxRemoteStep. It includes a margin of
	// one window for measurements whose windows start at other times.
	remoteSteps = 3
	// idleWindows is the number of windows without requests after which the previous share no longer limits the next one.
	idleWindows = 4
)

// remoteShare limits how fast the share of requests served in other regions changes when load changes: by at most one step
// up or down in each window.
type remoteShare struct {
	// remote counts the requests of the current window that were served remotely, and total all of them.
	remote int
	// unlimited is set after idleWindows without requests, because there is no recent share that the next one could be
	// compared with.
	unlimited     bool
	previousShare float64
	start         core.Instant
	maxStep       float64
	total         int
}

// allowsRemote reports whether the next request may be served in another region.
func (s *remoteShare) allowsRemote() bool {
	return s.unlimited || float64(s.remote+1) <= (s.previousShare+s.maxStep)*float64(s.total+1)+s.maxStep
}

// requiresRemote reports whether the share would fall too fast if the next request were served in the local region.
func (s *remoteShare) requiresRemote() bool {
	return !s.unlimited && float64(s.remote+1) <= (s.previousShare-s.maxStep)*float64(s.total+1)
}

// record counts a request.
func (s *remoteShare) record(remote bool) {
	s.total++
	if remote {
		s.remote++
	}
}

// advance starts a new window if the current one has ended.
func (s *remoteShare) advance(now core.Instant) {
	if now.Sub(s.start) < remoteWindow {
		return
	}
	switch {
	case s.total == 0 && now.Sub(s.start) >= idleWindows*remoteWindow:
		s.unlimited = true
	case s.total > 0:
		s.unlimited = false
		s.previousShare = float64(s.remote) / float64(s.total)
	}
	s.start, s.remote, s.total = now, 0, 0
}
