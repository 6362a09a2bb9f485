package proxy

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

// request is one caller's or relayed request while it is being served.
type request struct {
	affinityKey string
	// attempts counts the attempts so far.
	attempts     int
	avoidTargets []string
	// currentHost and busyTarget name where the latest attempt was sent.
	currentHost   string
	currentTarget string
	body          []byte
	// callerRequestID is the request's id in the dialect of the deployment, and callerLeft the time that the caller allows.
	callerRequestID string
	callerTimeout   time.Duration
	class           string
	// code is the result told to the caller.
	code       codes.Code
	deadline   core.Instant
	fromRegion string
	hops       int
	id         string
	incoming   *http.Request
	// key is the Idempotency-Key of a non-idempotent request that goes through the Deduper.
	key string
	// bodyLimit reads the body of a streamed request.
	bodyLimit *limitReader
	mutex     sync.Mutex
	// pace delays the streamed body while it crosses the link between two regions; nil elsewhere.
	pace   paceFunc
	policy core.EffectivePolicy
	// ran is what all attempts so far amount to; it never goes back to no.
	ran core.Ran
	// route is the route that the request matched, or nil where services are chosen by Host name alone.
	route   *core.RouteSettings
	service string
	// settingsRevision is the revision of the settingsRevision by which the route was found.
	settingsRevision int64
	startedAt        core.Instant
	// streamed means that the body is too large to be kept and the request can be sent once only.
	streamed bool
	tenant   string
	// reportedRan is the Ebony-Ran value reportedRan to the caller.
	reportedRan core.Ran
	toRegion    string
	triedHosts  []string
	// upload is the latest attempt to send a streamed body.
	upload *upload
	writer http.ResponseWriter
}

// addAvoidTarget excludes a target from the next attempts.
func (r *request) addAvoidTarget(target string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.avoidTargets = append(r.avoidTargets, target)
}

// addTriedHost excludes a host from the next attempts.
func (r *request) addTriedHost(host string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.triedHosts = append(r.triedHosts, host)
}

// avoidCurrent excludes the target or host of the running attempt and reports whether there is one.
func (r *request) avoidCurrent() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.currentTarget != "" {
		r.avoidTargets = append(r.avoidTargets, r.currentTarget)
	}
	if r.currentHost != "" {
		r.triedHosts = append(r.triedHosts, r.currentHost)
	}
	return r.currentTarget != "" || r.currentHost != ""
}

// idempotent reports whether running the request twice equals running it once.
func (r *request) idempotent() bool {
	if r.route != nil {
		return r.route.Idempotent
	}
	switch r.incoming.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// maxAttempts returns the bound on the attempts that this process makes.
func (r *request) maxAttempts() int {
	if r.relayed() {
		return maxRelayedAttempts
	}
	if r.route != nil {
		return int(r.route.MaxAttempts)
	}
	return maxAttempts
}

// recordRan remembers a reply that is given up and may have reached an upstream.
func (r *request) recordRan(result *attemptResult) {
	if result.ran == core.RanNo {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ran = core.RanUnknown
}

// reportableRan returns what the caller may be told when the last attempt ended with ran.
func (r *request) reportableRan(ran core.Ran) core.Ran {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if ran == core.RanNo {
		return r.ran
	}
	return ran
}

// relayed reports whether the request came from another entry process.
func (r *request) relayed() bool {
	return r.hops > 0
}

// routeRequest describes the next attempt.
func (r *request) routeRequest() core.RouteRequest {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	next := core.RouteRequest{
		AdmitRequest: core.AdmitRequest{
			AffinityKey:   r.affinityKey,
			Avoid:         slices.Clone(r.avoidTargets),
			Class:         r.class,
			Deadline:      r.deadline,
			FromRegion:    r.fromRegion,
			NonIdempotent: !r.idempotent(),
			RequestID:     r.id,
			Service:       r.service,
			Tenant:        r.tenant,
		},
		ToRegion:   r.toRegion,
		TriedHosts: slices.Clone(r.triedHosts),
	}
	if r.route != nil {
		if r.route.AimMs > 0 {
			next.Aim = r.startedAt.Add(time.Duration(r.route.AimMs) * time.Millisecond)
		}
		next.HomeRegions = r.route.HomeRegions
		next.Priority = r.route.Priority
		next.Route = r.route.Name
		if !r.route.Sticky {
			next.AffinityKey = ""
		}
	}
	return next
}

// setCurrent names the target or host that an attempt is sent to.
func (r *request) setCurrent(host, target string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.currentHost = host
	r.currentTarget = target
}

// attemptDeadline returns the time at which an upstream that was sent the request now should have answered.
func (r *request) attemptDeadline(now core.Instant) core.Instant {
	if r.policy.TryTimeoutMs <= 0 {
		return r.deadline
	}
	return now.Add(time.Duration(r.policy.TryTimeoutMs) * time.Millisecond)
}
