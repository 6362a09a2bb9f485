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

// maxPeerConnections bounds the connections to the relay address of one peer.
const maxPeerConnections = 1024

// attempt asks the router for a hop and sends the request there once.
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
		if result.rejected() {
			p.rejectShift(req, hop.Region, p.Self.Host)
		}
		return result
	case hop.Kind == core.HopGateway:
		return p.relay(ctx, req, hop.Peer, hop.Region, nil)
	default:
		return p.relay(ctx, req, hop.Peer, "", nil)
	}
}

// connect takes a connection from the pool; idleLimit depends on whether the request may be sent twice.
func (p *Proxy) connect(ctx context.Context, req *request, address string, limit int) (*conn, error) {
	idleLimit := maxIdleTime
	if !req.idempotent() || req.streamed {
		idleLimit = min(maxIdleTime, time.Duration(req.policy.IdleSuspectMs)*time.Millisecond)
	}
	return p.pools.of(address, limit).get(ctx, idleLimit, req.deadline)
}

// forward sends the request to a target that this process owns.
func (p *Proxy) forward(ctx context.Context, req *request) *attemptResult {
	grant, err := p.Admitter.Admit(ctx, req.routeRequest().AdmitRequest)
	if err != nil && ctx.Err() != nil {
		gone := &failure{code: codes.CallerGone, ran: core.RanNo, status: statusCallerClosedRequest, text: "the caller closed its connection"}
		return &attemptResult{failure: gone, final: true, ran: core.RanNo, bodyUnread: true}
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
	now := p.Timer.Now()
	c.begin(req.deadline, req.attemptDeadline(now), grant.ValidUntil)
	c.markTarget()
	out := req.outgoingRequest(now)
	p.prepareTargetHeaders(req, out, target)
	result := p.exchange(ctx, req, c, out, grant.Release)
	p.interpretTargetResponse(req, result)
	p.prefetch(req, result)
	if result.shed || result.retryable || (result.failure != nil && !result.closedWhileIdle) {
		req.addAvoidTarget(target.Target)
	}
	if result.failure != nil && result.failure.code == codes.LeaseExpired {
		req.addTriedHost(p.Self.Host)
	}
	return result
}

// interpretPeerResponse reads what a peer says about the request.
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

// interpretTargetResponse takes the upstream's own rejection as proof that the request was not run.
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
	said := core.Ran(result.response.Header.Get(core.HeaderRan))
	if said == core.RanNo && isRejection(result.response.StatusCode) {
		result.code = codes.UpstreamShed
		result.ran = core.RanNo
		result.shed = true
	}
}

// updatePeerLoad takes over the load that a peer sent with its response.
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
		p.Feedback.UpdateService(peer, req.service, load)
	}
}

// relay sends the request to another entry process; grant is set if that is in another region.
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
	// Requests whose connection or bandwidth was waited for would arrive together, so that only now they count.
	if err := admitShift(grant); err != nil {
		c.pool.put(c)
		release(core.Outcome{})
		return &attemptResult{failure: rejectionFailure(err), final: true, ran: core.RanNo, bodyUnread: true}
	}
	// The peer may let the request wait for a slot, so that up to half of the remaining time is added.
	now := p.Timer.Now()
	c.begin(req.deadline, req.attemptDeadline(now).Add(req.deadline.Sub(now)/2), validUntil)
	out := req.outgoingRequest(now)
	out.Header.Set(core.HeaderHops, strconv.Itoa(req.hops+1))
	out.Header.Set(core.HeaderRegion, req.fromRegion)
	out.Header.Set(core.HeaderTried, strings.Join(append(req.routeRequest().TriedHosts, p.Self.Host), ","))
	if toRegion != "" {
		out.Header.Set(core.HeaderToRegion, toRegion)
	}
	result := p.exchange(ctx, req, c, out, release)
	p.interpretPeerResponse(result)
	p.updatePeerLoad(req, result, peer)
	switch {
	case result.rejected() && toRegion != "":
		p.rejectShift(req, toRegion, peer.Host)
	case result.ran != core.RanYes && !result.closedWhileIdle:
		req.addTriedHost(peer.Host)
	}
	return result
}

// rejectShift keeps the next attempts from the gateway, whose own targets stay candidates.
func (p *Proxy) rejectShift(req *request, to, gateway string) {
	if p.Feedback == nil {
		req.addTriedHost(gateway)
		return
	}
	p.Feedback.RejectShift(req.service, to)
}

// relayToRegion sends the request to another region under the cap of the relayToRegion.
func (p *Proxy) relayToRegion(ctx context.Context, req *request, to string) *attemptResult {
	if req.hops >= maxHops {
		return tooManyHops()
	}
	route := req.routeRequest()
	route.ToRegion = to
	hop, err := p.Router.Route(route)
	if err != nil {
		return &attemptResult{failure: rejectionFailure(err), final: true, ran: core.RanNo, bodyUnread: true}
	}
	if hop.Kind != core.HopOwner {
		return &attemptResult{failure: notRun(codes.NoPermittedTarget, "no owner in region "+strconv.Quote(to)), final: true, ran: core.RanNo, bodyUnread: true}
	}
	grant, err := p.Shifter.ReserveShift(req.service, req.fromRegion, to)
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

// connectFailure reports that no connection could be made.
func (p *Proxy) connectFailure(ctx context.Context, req *request, address string, cause error, release func(core.Outcome)) *attemptResult {
	gone := ctx.Err() != nil
	release(core.Outcome{Failed: !gone})
	if !gone {
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
		// An empty value keeps Request.Write from adding its own.
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
	r.setBody(out)
	return out
}

// setBody attaches the kept body, followed by the unread rest when the request is streamed.
func (r *request) setBody(out *http.Request) {
	if !r.streamed && len(r.body) == 0 && len(out.Trailer) == 0 {
		out.Body = http.NoBody
		return
	}
	kept := bytes.NewReader(r.body)
	if !r.streamed {
		out.Body = io.NopCloser(kept)
	} else {
		rest := r.incoming.Body
		if r.pace != nil {
			rest = &pacedBody{ReadCloser: rest, ctx: r.incoming.Context(), pace: r.pace}
		}
		r.bodyLimit = &limitReader{remaining: r.policy.RequestBodyBytes, source: io.MultiReader(kept, rest)}
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

// rejectionFailure converts the error of the router, the admitter or the shifter.
func rejectionFailure(err error) *failure {
	var rejected *core.RejectedError
	if !errors.As(err, &rejected) {
		return notRun(codes.NoPermittedTarget, err.Error())
	}
	fault := notRun(rejected.Code, rejected.Text)
	if rejected.RetryAfter > 0 {
		fault.retryAfter = rejected.RetryAfter
	}
	return fault
}

func tooManyHops() *attemptResult {
	return &attemptResult{failure: notRun(codes.TooManyHops, "request was relayed 3 times"), final: true, ran: core.RanNo, bodyUnread: true}
}

// admitShift counts a request against the cap of its shift, if it goes to another region.
func admitShift(grant core.ShiftGrant) error {
	if grant == nil {
		return nil
	}
	return grant.Admit()
}

// noRelease stands for the release of a hop that needs no permission.
func noRelease(core.Outcome) {}
