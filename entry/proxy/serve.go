package proxy

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/lines"
)

// responseGrace is the time after the deadline within which the caller must have read its response.
const responseGrace = time.Second

// errorBody is the JSON body of an error response.
type errorBody struct {
	Code      codes.Code `json:"code"`
	Name      string     `json:"name"`
	Ran       core.Ran   `json:"ran"`
	RequestID string     `json:"request_id"`
	Text      string     `json:"text"`
}

// writeResult sends the result to the caller.
func (p *Proxy) writeResult(req *request, result *attemptResult, record *recorder) {
	if result.failure != nil {
		p.writeError(req, result.failure)
		return
	}
	p.respond(req, result, record)
}

// writeError sends an error response to the caller.
func (p *Proxy) writeError(req *request, fail *failure) {
	ran := req.reportableRan(fail.ran)
	if p.Dialect != nil && ran != core.RanNo && (isRejection(fail.status) || fail.status == http.StatusUnauthorized) {
		// Callers that use a dialect interpret these statuses as proof that the request was not run.
		fail = mayHaveRun(fail.code, http.StatusBadGateway, fail.text)
	}
	// Texts repeat what the caller has sent, which is up to the size of a head.
	id, text := lines.Shorten(req.id, lines.MaxErrorBytes), lines.Shorten(fail.text, lines.MaxErrorBytes)
	body, err := json.Marshal(errorBody{fail.code, p.codeNames[fail.code], ran, id, text})
	if err != nil {
		body = nil
	}
	header := req.writer.Header()
	p.setResponseHeaders(req, header, fail.code, ran)
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if fail.status == http.StatusUnauthorized {
		// RFC 9110, section 11.6.1, requires the challenge.
		header.Set("WWW-Authenticate", "Bearer")
	}
	switch {
	case fail.retryAfter > 0 && p.Dialect != nil:
		p.Dialect.SetRetryAfter(header, fail.retryAfter)
	case fail.retryAfter > 0:
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(fail.retryAfter.Seconds()))))
	}
	req.writer.WriteHeader(fail.status)
	_, _ = req.writer.Write(body)
}

// setResponseHeaders sets the headers that every response has.
func (p *Proxy) setResponseHeaders(req *request, header http.Header, code codes.Code, ran core.Ran) {
	req.code = code
	req.reportedRan = ran
	header.Set(core.HeaderCode, code.String())
	header.Set(core.HeaderRan, string(ran))
	header.Set(core.HeaderRequestID, req.id)
	p.setLoadHeader(req, header)
	// After an incomplete upload, the rest of the body cannot be distinguished from the next request, and the read
	// deadline that ended the upload would cancel that request.
	if p.draining.Load() || (req.streamed && !req.upload.complete()) {
		header.Set("Connection", "close")
	}
}

// setLoadHeader reports the load of the service to a peer, as it will be when this request has released its slot.
func (p *Proxy) setLoadHeader(req *request, header http.Header) {
	header.Del(core.HeaderLoad)
	if p.Load == nil || !req.relayed() || req.service == "" {
		return
	}
	load := p.Load.ServiceLoad(req.service)
	header.Set(core.HeaderLoad, core.FormatLoad(load))
}

// observe logs the finished request, if LogRequests is set, and reports it to the Observer.
func (p *Proxy) observe(req *request, relayed bool) {
	if p.LogRequests {
		p.logRequest(req)
	}
	if p.Observer == nil {
		return
	}
	p.Observer.ObserveRequest(core.RequestReport{
		Class:   req.class,
		Code:    req.code,
		Latency: p.Timer.Now().Sub(req.startedAt),
		Ran:     req.reportedRan,
		Relayed: relayed,
		Service: req.service,
		Tenant:  req.tenant,
	})
}

// logRequest logs the result and latency of a finished request.
func (p *Proxy) logRequest(req *request) {
	route, elapsed, pastObjective := "", p.Timer.Now().Sub(req.startedAt), time.Duration(0)
	if req.route != nil {
		route = req.route.Name
		if objective := time.Duration(req.route.LatencyObjectiveMs) * time.Millisecond; objective > 0 {
			pastObjective = max(0, elapsed-objective)
		}
	}
	customer := zap.Skip()
	if req.access.Customer != nil {
		customer = zap.String("customer", req.access.Customer.Name)
	}
	event.RequestCompleted.Write(p.Log, zap.String("request_id", req.id), zap.String("route", route), zap.String("service", req.service), customer,
		zap.Int("code", int(req.code)), zap.String("ran", string(req.reportedRan)), zap.Int("attempts", req.attempts),
		zap.Int64("settings", req.settingsRevision), zap.Duration("took", elapsed), zap.Duration("past_aim", pastObjective))
}

// receiveBody reads a small body, or prepares the caller's connection for a streamed one.
func (p *Proxy) receiveBody(req *request) *failure {
	if req.incoming.ContentLength == 0 {
		return nil
	}
	if !p.reserve(req, req.bufferedBytes()) {
		return notRun(codes.QueueFull, "no memory for the request body")
	}
	controller := http.NewResponseController(req.writer)
	wallDeadline := time.Now().Add(req.deadline.Sub(p.Timer.Now()))
	_ = controller.SetReadDeadline(wallDeadline)
	fail := readBody(req)
	if fail != nil {
		return fail
	}
	if !req.streamed {
		_ = controller.SetReadDeadline(time.Time{})
		return nil
	}
	// The upstream's deadline expires first, so that a timeout of the upstream is not reported as a failure to read the
	// body.
	_ = controller.SetReadDeadline(wallDeadline.Add(responseGrace))
	// Without full duplex, the server reads the rest of the body before it sends a response.
	_ = controller.EnableFullDuplex()
	return nil
}

// runAttempts makes attempts until one succeeds or no further one is permitted.
func (p *Proxy) runAttempts(ctx context.Context, req *request) *attemptResult {
	var last *attemptResult
	for n := 1; ; n++ {
		req.attempts = n
		next := p.attemptHedged(ctx, req)
		retry := p.mayRetry(ctx, req, next, n)
		if last != nil && next.bodyUnread {
			// The failure of an earlier attempt that was sent is more informative than the lack of another target.
			next = last
		}
		if !retry {
			return p.finalResult(next)
		}
		last = p.discard(next)
	}
}

// finalResult returns the result for the caller. With a dialect, a target's rejection is not passed on, because it
// concerns that target only; the caller gets an error response instead.
func (p *Proxy) finalResult(result *attemptResult) *attemptResult {
	if p.Dialect == nil || !result.shed || result.response == nil {
		return result
	}
	result = p.discard(result)
	result.failure.status = http.StatusServiceUnavailable
	return result
}

// serve handles one request, from parsing its headers to the end of its response.
func (p *Proxy) serve(w http.ResponseWriter, in *http.Request, relayed bool) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	req, fail := p.parse(w, in, relayed)
	defer p.releaseAll(req)
	defer p.observe(req, relayed)
	if fail != nil {
		p.writeError(req, fail)
		return
	}
	fail = p.admitCustomer(in.Context(), req)
	if fail != nil {
		p.writeError(req, fail)
		return
	}
	fail = p.receiveBody(req)
	if fail != nil {
		p.writeError(req, fail)
		return
	}
	p.Budget.RecordAttempt(req.service)
	if req.key != "" {
		p.serveKeyed(in.Context(), req)
		return
	}
	p.writeResult(req, p.runAttempts(in.Context(), req), nil)
}
