package proxy

import (
	"context"
	"net"
	"net/http"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/core/event"
)

// arrivedReadTimeout is the time to read a response that had already arrived when its deadline was noticed. It is short
// because the data is in this host's socket buffers.
const arrivedReadTimeout = core.ClockDriftMargin

// awaitHead reads the response head. It fails at the attempt deadline if the request is idempotent and not streamed,
// otherwise at the request's deadline.
func (p *Proxy) awaitHead(req *request, result *attemptResult, out *http.Request) error {
	c := result.conn
	attemptDeadline := c.attemptDeadline
	if req.streamed {
		attemptDeadline = req.deadline
	}
	err := c.setReadDeadline(attemptDeadline)
	if err != nil {
		return err
	}
	_, err = c.reader.Peek(1)
	arrived := isTimeout(err) && !c.cancelled.Load() && c.hasUnreadData()
	if arrived {
		// The deadline passed while this process was paused, and the response arrived in the meantime.
		err = c.setReadDeadline(p.Timer.Now().Add(arrivedReadTimeout))
	}
	if isTimeout(err) && attemptDeadline.Before(req.deadline) && !c.cancelled.Load() {
		p.suspectConnections(req, c)
		if req.idempotent() {
			return err
		}
	} else if err != nil {
		return err
	}
	if attemptDeadline.Before(req.deadline) && !arrived {
		err = c.setReadDeadline(req.deadline)
	}
	if err != nil {
		return err
	}
	result.response, result.informational, err = p.readMatchingHead(req, c, out) //nolint:bodyclose // attemptResult.finish closes it.
	return err
}

// exchange writes the request to c and reads the head of the response.
func (p *Proxy) exchange(ctx context.Context, req *request, c *conn, out *http.Request, release func(core.Outcome)) *attemptResult {
	result := &attemptResult{conn: c, ran: core.RanUnknown, release: release, sentAt: p.Timer.Now()}
	result.stopCancel = context.AfterFunc(ctx, c.cancel)
	var err error
	if req.streamed {
		result.upload = startUpload(c, out, req.writer)
		req.upload = result.upload
	} else {
		err = c.send(out)
	}
	if err == nil || (c.bytesWritten > 0 && !isTimeout(err) && !c.leaseExpired) {
		// An upstream may respond and close the connection before it has read the whole request.
		err = p.awaitHead(req, result, out)
	}
	switch {
	case err != nil:
		p.failExchange(ctx, req, result, err)
	case endsWithConnection(result.response):
		result.response.Body = &closedBody{result.response.Body, req.deadline, result}
	}
	return result
}

// failExchange ends an attempt without a response head and determines whether the request may have run.
func (p *Proxy) failExchange(ctx context.Context, req *request, result *attemptResult, err error) {
	c := result.conn
	// Ending the upload also cancels the caller's context, so the context is checked first.
	callerGone := ctx.Err() != nil
	result.upload.finish(c)
	unsent := c.bytesWritten == 0
	result.failure = classifyFailure(req, result, err, callerGone)
	if unsent {
		result.failure.ran = core.RanNo
		result.failure.status = http.StatusServiceUnavailable
	}
	if result.failure.code == codes.BodyTooLarge {
		result.failure.status = http.StatusRequestEntityTooLarge
	}
	result.ran = result.failure.ran
	result.final = callerGone
	result.closedWhileIdle = c.reused && result.failure.code == codes.UpstreamBroken
	if result.closedWhileIdle && c.reset.Load() {
		// The cause of this reset may have affected other connections of the same age, and each of them would fail one
		// more request.
		c.pool.suspect(p.Timer.Now())
	}
	if result.failure.code == codes.LeaseExpired {
		event.RequestLeaseEnded.Write(p.Log, zap.String("request_id", req.id), zap.String("address", c.pool.address))
	}
	if result.failure.code == codes.UpstreamBroken {
		event.RequestBroken.Write(p.Log, zap.String("request_id", req.id), zap.String("address", c.pool.address), zap.Error(err))
	}
	targetFailed := (result.failure.code == codes.UpstreamBroken && !result.closedWhileIdle) || result.failure.code == codes.UpstreamTimeout
	result.finish(false, targetFailed)
}

// suspectConnections logs the missing response and stops the use of all connections to the address that are open now.
func (p *Proxy) suspectConnections(req *request, c *conn) {
	event.RequestTimedOut.Write(p.Log, zap.String("request_id", req.id), zap.String("address", c.pool.address))
	c.pool.suspect(p.Timer.Now())
}

// classifyFailure returns the failure for the error of an exchange.
func classifyFailure(req *request, result *attemptResult, err error, callerGone bool) *failure {
	u := result.upload
	switch {
	case callerGone:
		return mayHaveRun(codes.CallerGone, statusCallerClosedRequest, "the caller closed its connection")
	case !u.ended():
	case u != nil && req.bodyLimit.remaining < 0:
		return mayHaveRun(codes.BodyTooLarge, http.StatusRequestEntityTooLarge, "request body exceeds request_body_bytes")
	case result.conn.leaseExpired:
		return mayHaveRun(codes.LeaseExpired, http.StatusBadGateway, "the lease ended before the request was written")
	case u != nil && u.bodyFailed:
		return mayHaveRun(codes.BadRequest, http.StatusBadRequest, "request body could not be read: "+u.err.Error())
	}
	if isTimeout(err) {
		return mayHaveRun(codes.UpstreamTimeout, http.StatusGatewayTimeout, "the upstream did not answer in time")
	}
	return mayHaveRun(codes.UpstreamBroken, http.StatusBadGateway, "the connection failed before the response: "+err.Error())
}

func isTimeout(err error) bool {
	if err == nil {
		return false
	}
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// statusCallerClosedRequest is the status of a request whose caller has closed its connection. No caller receives it.
const statusCallerClosedRequest = 499
