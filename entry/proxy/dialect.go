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
	// maxHeadReads limits the response heads that are read to find the one that belongs to the request.
	maxHeadReads = 3
	// maxSkippedBytes limits the body of a skipped response.
	maxSkippedBytes = 256 << 10
)

var (
	// errOtherRequest means that no response on the connection belongs to the request.
	errOtherRequest = errors.New("the response belongs to another request")
	// errUnknownOwner means that a response may belong to an earlier request of the connection.
	errUnknownOwner = errors.New("the response may belong to an earlier request")
)

// hostName returns the host name of a request in lower case, without the port.
func hostName(in *http.Request) string {
	host, _, err := net.SplitHostPort(in.Host)
	if err != nil {
		host = in.Host
	}
	return strings.ToLower(host)
}

// interpretByDialect determines from the deployment's dialect whether the target ran the request.
func (p *Proxy) interpretByDialect(req *request, result *attemptResult) {
	interpreted := p.Dialect.ReadResponse(result.response.StatusCode, result.response.Header)
	result.load, result.hasLoad = interpreted.Load, interpreted.HasLoad
	result.pause = interpreted.Pause
	result.code = codes.OK
	result.ran = core.RanYes
	switch {
	case interpreted.NotRun || interpreted.OtherTarget:
		result.code = codes.UpstreamShed
		result.ran = core.RanNo
		result.shed = true
		result.otherTarget = interpreted.OtherTarget
	case interpreted.Unverified:
		result.finish(false, true)
		result.response = nil
		result.ran = core.RanUnknown
		result.failure = mayHaveRun(codes.UpstreamBroken, http.StatusBadGateway, "the response lacks the mark of a target")
	case result.response.StatusCode >= http.StatusInternalServerError && req.idempotent():
		result.retryable = true
	}
}

// readMatchingHead reads response heads until one belongs to the request and skips the others.
func (p *Proxy) readMatchingHead(req *request, c *conn, out *http.Request) (*http.Response, []*http.Response, error) {
	for range maxHeadReads {
		response, informational, err := c.readHead(out)
		if err != nil {
			return nil, nil, err
		}
		switch p.ownerOf(req, c, response) {
		case ownResponse:
			return response, informational, nil
		case unknownResponse:
			return nil, nil, errUnknownOwner
		case otherResponse:
		}
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, nil, errOtherRequest
		}
		if _, err := io.CopyN(io.Discard, response.Body, maxSkippedBytes); !errors.Is(err, io.EOF) {
			return nil, nil, errOtherRequest
		}
		c.head.Begin(maxResponseHeadBytes)
	}
	return nil, nil, errOtherRequest
}

// parseDialectHeaders reads the headers that a caller sends in the deployment's dialect.
func (p *Proxy) parseDialectHeaders(req *request) *failure {
	if p.Dialect == nil || req.relayed() {
		return nil
	}
	head, err := p.Dialect.ReadRequest(req.incoming.Header)
	if err != nil {
		return callerError(http.StatusBadRequest, codes.BadRequest, err.Error())
	}
	req.affinityKey = head.AffinityKey
	req.callerTimeout = head.Deadline
	req.callerRequestID = head.RequestID
	if head.RequestID != "" {
		req.id = head.RequestID
	}
	return nil
}

// prepareTargetHeaders replaces the Ebony headers by those of the deployment's dialect.
func (p *Proxy) prepareTargetHeaders(req *request, out *http.Request, target core.TargetRef) {
	if p.Dialect == nil {
		return
	}
	for _, name := range []string{core.HeaderClass, core.HeaderDeadline, core.HeaderRequestID, core.HeaderService} {
		out.Header.Del(name)
	}
	attempt := core.UpstreamAttempt{Remaining: req.deadline.Sub(p.Timer.Now()), TargetID: target.Target}
	if req.access.KeysRequired {
		out.Header.Del(core.HeaderTenant)
		attempt.Customer, attempt.KeysRequired = req.tenant, true
	}
	p.Dialect.Prepare(out.Header, attempt)
}
