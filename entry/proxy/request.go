package proxy

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/entry/access"
)

// request is the state of a caller's or relayed request while it is served.
type request struct {
	access      access.Access
	affinityKey string
	// attempts is the number of attempts made so far.
	attempts     int
	avoidTargets []string
	// currentHost and currentTarget name the destination of the latest attempt.
	currentHost   string
	currentTarget string
	body          []byte
	// callerRequestID is the caller's request ID in the deployment's dialect, and callerTimeout is the time that the
	// caller allows, or 0 if it sets no limit.
	callerRequestID string
	callerTimeout   time.Duration
	class           string
	// code is the result code sent to the caller.
	code       codes.Code
	deadline   core.Instant
	fromRegion string
	hops       int
	id         string
	incoming   *http.Request
	// key is the Idempotency-Key of a non-idempotent request that the Deduper handles.
	key string
	// bodyLimit reads the body of a streamed request and enforces its size limit.
	bodyLimit *limitReader
	mutex     sync.Mutex
	// pace delays the streamed body on the link between two regions; nil means no delay.
	pace   paceFunc
	policy core.EffectivePolicy
	// ran summarizes the attempts so far that did not succeed; it never returns to RanNo.
	ran core.Ran
	// route is the matched route, or nil if the service was selected without one.
	route   *core.RouteSettings
	service string
	// settingsRevision is the revision of the settings that selected the service.
	settingsRevision int64
	startedAt        core.Instant
	// streamed means that the body is too large to buffer, so the request can be sent only once.
	streamed bool
	// tenant is the name of the customer if the settings require keys, and otherwise the one that the caller states.
	tenant string
	// reportedRan is the Ebony-Ran value sent to the caller.
	reportedRan core.Ran
	toRegion    string
	triedHosts  []string
	// upload is the latest attempt to send a streamed body.
	upload *upload
	writer http.ResponseWriter
	// held is the memory that is reserved for the request.
	held heldMemory
}

// addAvoidTarget excludes a target from later attempts.
func (r *request) addAvoidTarget(target string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.avoidTargets = append(r.avoidTargets, target)
}

// addTriedHost excludes a host from later attempts.
func (r *request) addTriedHost(host string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.triedHosts = append(r.triedHosts, host)
}

// avoidCurrent excludes the destination of the current attempt from later ones and reports whether there is one.
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

// idempotent reports whether running the request twice has the same effect as running it once.
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

// maxAttempts returns the largest number of attempts that this process makes.
func (r *request) maxAttempts() int {
	if r.relayed() {
		return maxRelayedAttempts
	}
	if r.route != nil {
		return int(r.route.MaxAttempts)
	}
	return defaultMaxAttempts
}

// recordRan records that an attempt whose result is not used may have run the request.
func (r *request) recordRan(result *attemptResult) {
	if result.ran == core.RanNo {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ran = core.RanUnknown
}

// reportableRan returns the Ebony-Ran value for the caller when the last attempt ended with ran. It is not RanNo if an
// earlier attempt may have run the request.
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

// routeRequest returns the routing request for the next attempt.
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
			HomeRegions:   r.access.HomeRegions,
			NonIdempotent: !r.idempotent(),
			Priority:      r.access.Priority,
			RequestID:     r.id,
			Service:       r.service,
			Tenant:        r.tenant,
		},
		ToRegion:   r.toRegion,
		TriedHosts: slices.Clone(r.triedHosts),
	}
	if r.route != nil {
		if r.route.LatencyObjectiveMs > 0 {
			next.LatencyObjective = r.startedAt.Add(time.Duration(r.route.LatencyObjectiveMs) * time.Millisecond)
		}
		next.Route = r.route.Name
		if !r.route.Sticky {
			next.AffinityKey = ""
		}
	}
	return next
}

// setCurrent records the host or target that an attempt is sent to.
func (r *request) setCurrent(host, target string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.currentHost = host
	r.currentTarget = target
}

// attemptDeadline returns the time by which an upstream should have responded to a request sent now.
func (r *request) attemptDeadline(now core.Instant) core.Instant {
	if r.policy.TryTimeoutMs <= 0 {
		return r.deadline
	}
	return now.Add(time.Duration(r.policy.TryTimeoutMs) * time.Millisecond)
}
