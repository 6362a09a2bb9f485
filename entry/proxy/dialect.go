package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

const (
	// maxSkippedResponses is the number of responses to other requests that are skipped on one connection.
	maxSkippedResponses = 3
	// maxSkippedBytes bounds the body of a skipped response, in bytes.
	maxSkippedBytes = 256 << 10
)

// errOtherRequest means that a connection carried nothing but responses to other requests.
var errOtherRequest = errors.New("the response belongs to another request")

// hostName returns the Host name of a request in lower case and without the port.
func hostName(in *http.Request) string {
	host, _, err := net.SplitHostPort(in.Host)
	if err != nil {
		host = in.Host
	}
	return strings.ToLower(host)
}

// interpretByDialect interprets a target's response as the dialect of the deployment says.
func (p *Proxy) interpretByDialect(req *request, result *attemptResult) {
	answer := p.Dialect.Answer(result.response.StatusCode, result.response.Header)
	result.load, result.hasLoad = answer.Load, answer.HasLoad
	result.code = codes.OK
	result.ran = core.RanYes
	switch {
	case answer.NotRun || answer.OtherTarget:
		result.code = codes.UpstreamShed
		result.ran = core.RanNo
		result.shed = true
		result.otherTarget = answer.OtherTarget
	case answer.Unproven:
		result.finish(false, true)
		result.response = nil
		result.ran = core.RanUnknown
		result.failure = mayHaveRun(codes.UpstreamBroken, http.StatusBadGateway, "the response lacks the mark of a target")
	case result.response.StatusCode >= http.StatusInternalServerError && req.idempotent():
		result.retryable = true
	}
}

// readMatchingHead reads response heads until one belongs to the request.
func (p *Proxy) readMatchingHead(req *request, c *conn, out *http.Request) (*http.Response, []*http.Response, error) {
	for range maxSkippedResponses {
		response, early, err := c.readHead(out)
		if err != nil || p.Dialect == nil || !c.toTarget {
			return response, early, err
		}
		id := p.Dialect.Answer(response.StatusCode, response.Header).RequestID
		if id == "" || id == req.callerRequestID {
			return response, early, nil
		}
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, nil, errOtherRequest
		}
		if _, err := io.CopyN(io.Discard, response.Body, maxSkippedBytes); !errors.Is(err, io.EOF) {
			return nil, nil, errOtherRequest
		}
		c.headRemaining = maxResponseHeadBytes
	}
	return nil, nil, errOtherRequest
}

// parseDialectHeaders reads the headers of the deployment's dialect.
func (p *Proxy) parseDialectHeaders(req *request) *failure {
	if p.Dialect == nil || req.relayed() {
		return nil
	}
	head, err := p.Dialect.Caller(req.incoming.Header)
	if err != nil {
		return callerFault(http.StatusBadRequest, codes.BadRequest, err.Error())
	}
	req.affinityKey = head.AffinityKey
	req.callerTimeout = head.Deadline
	req.callerRequestID = head.RequestID
	if head.RequestID != "" {
		req.id = head.RequestID
	}
	return nil
}

// prepareTargetHeaders replaces the headers of entry processes by those of the deployment's dialect.
func (p *Proxy) prepareTargetHeaders(req *request, out *http.Request, target core.TargetRef) {
	if p.Dialect == nil {
		return
	}
	for _, name := range []string{core.HeaderClass, core.HeaderDeadline, core.HeaderRequestID, core.HeaderService} {
		out.Header.Del(name)
	}
	left := req.deadline.Sub(p.Timer.Now())
	p.Dialect.Prepare(out.Header, core.UpstreamAttempt{Left: left, TargetID: target.Target})
}
