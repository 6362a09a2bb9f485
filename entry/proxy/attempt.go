package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/core/event"
)

// maxPeerConnections limits the connections to the relay address of one peer.
const maxPeerConnections = 1024

// attempt sends the request once, to the hop that the router chooses.
func (p *Proxy) attempt(ctx context.Context, req *request) *attemptResult {
	if req.deadline.Sub(p.Timer.Now()) < time.Millisecond {
		return &attemptResult{failure: notRun(codes.DeadlineTooShort, "no time is left"), final: true, ran: core.RanNo, bodyUnread: true}
	}
	if req.toRegion != "" {
		return p.relayToRegion(ctx, req, req.toRegion)
	}
	hop, err := p.Router.Route(req.routeRequest())
	if err != nil {
		return &attemptResult{failure: rejectionFailure(err), final: true, ran: core.RanNo, bodyUnread: true}
	}
	switch {
	case hop.Kind == core.HopLocal:
		return p.forward(ctx, req)
	case hop.Kind == core.HopGateway && hop.Peer.Host == p.Self.Host:
		result := p.relayToRegion(ctx, req, hop.Region)
		result.final = false
		if result.provenNotRun() {
			p.rejectShift(req, hop.Region, p.Self.Host)
		}
		return result
	case hop.Kind == core.HopGateway:
		return p.relay(ctx, req, hop.Peer, hop.Region, nil)
	default:
		return p.relay(ctx, req, hop.Peer, "", nil)
	}
}

// connect returns a connection to address from its pool. A request that must not be sent twice gets a connection that
// was idle for IdleSuspectMs at most, because one that was idle for longer may have failed unnoticed. One without an ID gets a new connection,
// because nothing else shows that a response belongs to it.
func (p *Proxy) connect(ctx context.Context, req *request, address string, limit int) (*conn, error) {
	idleLimit := maxIdleTime
	if !req.idempotent() || req.streamed {
		idleLimit = min(maxIdleTime, time.Duration(req.policy.IdleSuspectMs)*time.Millisecond)
	}
	if p.Dialect != nil && req.callerRequestID == "" && !req.relayed() {
		idleLimit = -1
	}
	return p.pools.of(address, limit).get(ctx, idleLimit, req.deadline)
}

// forward sends the request to a target that this process owns.
func (p *Proxy) forward(ctx context.Context, req *request) *attemptResult {
	grant, err := p.Admitter.Admit(ctx, req.routeRequest().AdmitRequest)
	if err != nil && ctx.Err() != nil {
		cancelled := &failure{code: codes.CallerGone, ran: core.RanNo, status: statusCallerClosedRequest, text: "the caller closed its connection"}
		return &attemptResult{failure: cancelled, final: true, ran: core.RanNo, bodyUnread: true}
	}
	if err != nil {
		req.addTriedHost(p.Self.Host)
		return &attemptResult{failure: rejectionFailure(err), ran: core.RanNo, bodyUnread: true}
	}
	target := grant.Target()
	req.setCurrent("", target.Target)
	c, err := p.connect(ctx, req, target.Address, target.Connections)
	if err != nil {
		req.addAvoidTarget(target.Target)
		return p.connectFailure(ctx, req, target.Address, err, grant.Release)
	}
	release, withheld := p.prepareSend(ctx, req, grant, c)
	if withheld != nil {
		return withheld
	}
	now := p.Timer.Now()
	c.begin(req.deadline, req.attemptDeadline(now), grant.ValidUntil)
	c.markTarget()
	out := req.outgoingRequest(now)
	p.prepareTargetHeaders(req, out, target)
	result := p.exchange(ctx, req, c, out, release)
	p.interpretTargetResponse(req, result)
	if pausable, ok := grant.(core.PausableGrant); ok {
		pausable.RecordPause(result.pause)
	}
	p.prefetch(req, result)
	if result.shed || result.retryable || (result.failure != nil && !result.closedWhileIdle) {
		req.addAvoidTarget(target.Target)
	}
	if result.failure != nil && result.failure.code == codes.LeaseExpired {
		req.addTriedHost(p.Self.Host)
	}
	return result
}

// interpretPeerResponse determines from the Ebony headers of a peer's response whether the request was run. If they are
// missing or malformed, the attempt fails and the request may have run.
func (p *Proxy) interpretPeerResponse(result *attemptResult) {
	if result.failure != nil {
		return
	}
	code, err := strconv.Atoi(result.response.Header.Get(core.HeaderCode))
	result.code = codes.Code(code)
	result.ran = core.Ran(result.response.Header.Get(core.HeaderRan))
	known := result.ran == core.RanNo || result.ran == core.RanYes || result.ran == core.RanUnknown
	if err != nil || !known {
		result.finish(false, true)
		result.response = nil
		result.ran = core.RanUnknown
		result.failure = mayHaveRun(codes.UpstreamBroken, http.StatusBadGateway, "peer's response lacks the Ebony headers")
		return
	}
	result.shed = result.code == codes.UpstreamShed
	if result.ran == core.RanNo {
		result.final = !isRejection(result.response.StatusCode)
	}
}

// interpretTargetResponse determines whether the target ran the request. Without a dialect, only a rejection that
// carries Ebony-Ran: no proves that it did not.
func (p *Proxy) interpretTargetResponse(req *request, result *attemptResult) {
	if result.failure != nil {
		return
	}
	if p.Dialect != nil {
		p.interpretByDialect(req, result)
		return
	}
	result.code = codes.OK
	result.ran = core.RanYes
	reported := core.Ran(result.response.Header.Get(core.HeaderRan))
	if reported == core.RanNo && isRejection(result.response.StatusCode) {
		result.code = codes.UpstreamShed
		result.ran = core.RanNo
		result.shed = true
	}
}

// updatePeerLoad passes the service load reported in a peer's response to the router and removes its header.
func (p *Proxy) updatePeerLoad(req *request, result *attemptResult, peer core.Host) {
	if p.Feedback == nil || result.response == nil {
		return
	}
	value := result.response.Header.Get(core.HeaderLoad)
	if value == "" {
		return
	}
	result.response.Header.Del(core.HeaderLoad)
	if load, err := core.ParseLoad(value); err == nil {
		p.Feedback.UpdateServiceLoad(peer, req.service, load)
	}
}

// relay sends the request to another entry process. toRegion, if set, is the region to which that process, a gateway,
// passes the request on. grant is non-nil if that process is in another region.
func (p *Proxy) relay(ctx context.Context, req *request, peer core.Host, toRegion string, grant core.ShiftGrant) *attemptResult {
	if req.hops >= maxHops {
		return tooManyHops()
	}
	release := noRelease
	var validUntil func() core.Instant
	if grant != nil {
		release, validUntil = grant.Release, grant.ValidUntil
	}
	req.setCurrent(peer.Host, "")
	c, err := p.connect(ctx, req, peer.RelayAddress, maxPeerConnections)
	if err != nil {
		req.addTriedHost(peer.Host)
		return p.connectFailure(ctx, req, peer.RelayAddress, err, release)
	}
	if fail := p.checkAttempt(req); fail != nil {
		return withholdAttempt(c, fail, release)
	}
	// Count the request against the cap only after the waits for a connection and for bandwidth. Requests counted
	// earlier could be sent together after the wait and exceed the cap.
	if err := admitShift(grant); err != nil {
		return withholdAttempt(c, rejectionFailure(err), release)
	}
	// The peer may queue the request for a slot, so half of the remaining time is added to the attempt timeout.
	now := p.Timer.Now()
	c.begin(req.deadline, req.attemptDeadline(now).Add(req.deadline.Sub(now)/2), validUntil)
	out := req.outgoingRequest(now)
	out.Header.Set(core.HeaderHops, strconv.Itoa(req.hops+1))
	out.Header.Set(core.HeaderFromRegion, req.fromRegion)
	out.Header.Set(core.HeaderTried, strings.Join(append(req.routeRequest().TriedHosts, p.Self.Host), ","))
	if toRegion != "" {
		out.Header.Set(core.HeaderToRegion, toRegion)
	}
	if len(req.access.HomeRegions) > 0 {
		out.Header.Set(core.HeaderHomeRegions, strings.Join(req.access.HomeRegions, ","))
	}
	result := p.exchange(ctx, req, c, out, release)
	p.interpretPeerResponse(result)
	p.updatePeerLoad(req, result, peer)
	switch {
	case result.provenNotRun() && toRegion != "":
		p.rejectShift(req, toRegion, peer.Host)
	case result.ran != core.RanYes && !result.closedWhileIdle:
		req.addTriedHost(peer.Host)
	}
	return result
}

// rejectShift makes later attempts avoid the shift to toRegion, which gateway rejected. The gateway's own targets
// remain candidates, unless there is no Feedback to record the rejection.
func (p *Proxy) rejectShift(req *request, toRegion, gateway string) {
	if p.Feedback == nil {
		req.addTriedHost(gateway)
		return
	}
	p.Feedback.RecordShiftRejection(req.service, toRegion)
}

// relayToRegion sends the request to another region, subject to the cap of the shift.
func (p *Proxy) relayToRegion(ctx context.Context, req *request, toRegion string) *attemptResult {
	if req.hops >= maxHops {
		return tooManyHops()
	}
	route := req.routeRequest()
	route.ToRegion = toRegion
	hop, err := p.Router.Route(route)
	if err != nil {
		return &attemptResult{failure: rejectionFailure(err), final: true, ran: core.RanNo, bodyUnread: true}
	}
	if hop.Kind != core.HopOwner {
		return &attemptResult{failure: notRun(codes.NoPermittedTarget, "no owner in region "+strconv.Quote(toRegion)), final: true, ran: core.RanNo, bodyUnread: true}
	}
	grant, err := p.Shifter.ReserveShift(req.service, req.fromRegion, toRegion)
	if err != nil {
		return &attemptResult{failure: rejectionFailure(err), final: true, ran: core.RanNo, bodyUnread: true}
	}
	if err := grant.PaceRequest(ctx, linkHeadBytes+len(req.body)); err != nil {
		grant.Release(core.Outcome{})
		return &attemptResult{failure: notRun(codes.ShiftCapReached, "the link between the regions is busy"), final: true, ran: core.RanNo, bodyUnread: true}
	}
	if req.streamed {
		req.pace = grant.PaceRequest
	}
	result := p.relay(ctx, req, hop.Peer, "", grant)
	if result.response != nil {
		result.response.Body = &pacedBody{ReadCloser: result.response.Body, ctx: ctx, pace: grant.PaceResponse}
	}
	return result
}

// connectFailure releases the grant of an attempt that got no connection and returns the result of the attempt.
func (p *Proxy) connectFailure(ctx context.Context, req *request, address string, cause error, release func(core.Outcome)) *attemptResult {
	callerGone := ctx.Err() != nil
	release(core.Outcome{Failed: !callerGone})
	if !callerGone {
		event.RequestRefused.Write(p.Log, zap.String("request_id", req.id), zap.String("address", address), zap.Error(cause))
	}
	return &attemptResult{failure: notRun(codes.UpstreamUnreachable, "no connection to the upstream"), ran: core.RanNo, bodyUnread: true}
}

// outgoingRequest builds the request that is written to a target or a peer.
func (r *request) outgoingRequest(now core.Instant) *http.Request {
	in := r.incoming
	header := in.Header.Clone()
	removeHopByHop(header)
	removeInternal(header)
	header.Set(core.HeaderClass, r.class)
	header.Set(core.HeaderDeadline, strconv.FormatInt(max(1, r.deadline.Sub(now).Milliseconds()), 10))
	header.Set(core.HeaderRequestID, r.id)
	header.Set(core.HeaderService, r.service)
	if _, found := header["User-Agent"]; !found {
		// An empty value keeps Request.Write from adding its default User-Agent.
		header["User-Agent"] = []string{""}
	}
	out := &http.Request{
		ContentLength: int64(len(r.body)),
		Header:        header,
		Host:          in.Host,
		Method:        in.Method,
		Trailer:       in.Trailer,
		URL:           &url.URL{Path: in.URL.Path, RawPath: in.URL.RawPath, RawQuery: in.URL.RawQuery, ForceQuery: in.URL.ForceQuery},
	}
	r.setIdentity(out)
	r.setBody(out)
	return out
}

// setBody attaches the buffered body, followed by the unread part if the request is streamed.
func (r *request) setBody(out *http.Request) {
	if !r.streamed && len(r.body) == 0 && len(out.Trailer) == 0 {
		out.Body = http.NoBody
		return
	}
	buffered := bytes.NewReader(r.body)
	if !r.streamed {
		out.Body = io.NopCloser(buffered)
	} else {
		unread := r.incoming.Body
		if r.pace != nil {
			unread = &pacedBody{ReadCloser: unread, ctx: r.incoming.Context(), pace: r.pace}
		}
		r.bodyLimit = &limitReader{remaining: r.policy.RequestBodyBytes, source: io.MultiReader(buffered, unread)}
		out.Body = io.NopCloser(r.bodyLimit)
		out.ContentLength = r.incoming.ContentLength
	}
	if len(out.Trailer) > 0 {
		out.ContentLength = -1
	}
}

// mayHaveRun returns the failure of a request that may have run.
func mayHaveRun(code codes.Code, status int, text string) *failure {
	return &failure{code: code, ran: core.RanUnknown, status: status, text: text}
}

// rejectionFailure converts a rejection of the router, the admitter, the shifter, the key check or the quota to a failure.
func rejectionFailure(err error) *failure {
	var rejected *core.RejectedError
	if !errors.As(err, &rejected) {
		return notRun(codes.NoPermittedTarget, err.Error())
	}
	fail := notRun(rejected.Code, rejected.Text)
	if rejected.RetryAfter > 0 {
		fail.retryAfter = rejected.RetryAfter
	}
	switch rejected.Code {
	case codes.UnknownKey:
		fail.status, fail.retryAfter = http.StatusUnauthorized, 0
	case codes.QuotaExceeded:
		fail.status = http.StatusTooManyRequests
	default:
	}
	return fail
}

func tooManyHops() *attemptResult {
	return &attemptResult{failure: notRun(codes.TooManyHops, "request was relayed 3 times"), final: true, ran: core.RanNo, bodyUnread: true}
}

// prepareSend checks immediately before an attempt is written to a target whether it may be. It returns the function that releases the
// attempt, or the result of an attempt that was not sent and whose connection and grant were returned.
func (p *Proxy) prepareSend(ctx context.Context, req *request, grant core.Grant, c *conn) (release func(core.Outcome), withheld *attemptResult) {
	release, permitted := p.boundBytes(ctx, req, c, grant.Release)
	if !permitted {
		c.pool.putUnused(c)
		release(core.Outcome{})
		req.addAvoidTarget(grant.Target().Target)
		return nil, &attemptResult{failure: notRun(codes.QueueFull, "bodies in flight to the target reach their limit"), ran: core.RanNo, bodyUnread: true}
	}
	if pausable, ok := grant.(core.PausableGrant); ok && pausable.Paused() {
		// Another response has arrived while this request waited for its connection. The target is not chosen again.
		c.pool.putUnused(c)
		release(core.Outcome{})
		return nil, p.forward(ctx, req)
	}
	if fail := p.checkAttempt(req); fail != nil {
		return nil, withholdAttempt(c, fail, release)
	}
	return release, nil
}

// withholdAttempt returns the connection and the grant of an attempt of which nothing was sent, and the result of the attempt.
func withholdAttempt(c *conn, fail *failure, release func(core.Outcome)) *attemptResult {
	c.pool.putUnused(c)
	release(core.Outcome{})
	return &attemptResult{failure: fail, final: true, ran: core.RanNo, bodyUnread: true}
}

// admitShift counts a request to another region against the cap of its shift. It accepts every request without a grant.
func admitShift(grant core.ShiftGrant) error {
	if grant == nil {
		return nil
	}
	return grant.Admit()
}

// noRelease is the release function of a hop that needs no grant.
func noRelease(core.Outcome) {}
