package proxy

import (
	"bytes"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

const (
	// maxBufferedBodyBytes is the largest body that is kept in memory, which allows the request to be sent again.
	maxBufferedBodyBytes = 64 << 10
	// maxKeyBytes is the longest Idempotency-Key.
	maxKeyBytes = 256
	// maxKeyedBodyBytes is the largest body of a keyed request; the whole body is hashed before it is sent.
	maxKeyedBodyBytes = 1 << 20
	// maxHops is the largest number of relays of one request.
	maxHops = 3
	// maxTenantBytes is the longest tenant name.
	maxTenantBytes = 64
)

// Request classes in the Ebony-Class header.
const (
	classBatch       = "batch"
	classInteractive = "interactive"
)

func bodyTooLarge(limit int64) *failure {
	return callerError(http.StatusRequestEntityTooLarge, codes.BodyTooLarge, "request body exceeds "+strconv.FormatInt(limit, 10)+" bytes")
}

// parse reads and validates the headers of a request; receiveBody reads the body.
func (p *Proxy) parse(w http.ResponseWriter, in *http.Request, relayed bool) (*request, *failure) {
	req := &request{incoming: in, ran: core.RanNo, startedAt: p.Timer.Now(), writer: w}
	fail := p.parseOrigin(req, relayed)
	if fail != nil {
		return req, fail
	}
	fail = p.parseDialectHeaders(req)
	if fail != nil {
		return req, fail
	}
	fail = p.parseService(req)
	if fail != nil {
		return req, fail
	}
	fail = parseLabels(req)
	if fail != nil {
		return req, fail
	}
	fail = parseDeadline(req)
	if fail != nil {
		return req, fail
	}
	if !relayed && p.Deduper != nil && !req.idempotent() {
		return req, parseKey(req)
	}
	return req, nil
}

// parseDeadline sets the deadline to the caller's, limited by the timeout of the route or the policy.
func parseDeadline(req *request) *failure {
	limit := time.Duration(req.policy.DeadlineMs) * time.Millisecond
	if req.route != nil {
		limit = time.Duration(req.route.TimeoutMs) * time.Millisecond
	}
	if req.callerTimeout > 0 {
		limit = min(limit, req.callerTimeout)
	}
	text := req.incoming.Header.Get(core.HeaderDeadline)
	if text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return callerError(http.StatusBadRequest, codes.BadDeadline, "header Ebony-Deadline-Ms is not a positive number: "+strconv.Quote(text))
		}
		ms = min(ms, math.MaxInt64/int64(time.Millisecond))
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	req.deadline = req.startedAt.Add(limit)
	return nil
}

func parseKey(req *request) *failure {
	values, found := req.incoming.Header[core.HeaderIdempotencyKey]
	if !found {
		return nil
	}
	if len(values) != 1 || values[0] == "" || len(values[0]) > maxKeyBytes {
		return callerError(http.StatusBadRequest, codes.KeyInvalid, "header Idempotency-Key must be given once, with 1 to 256 bytes")
	}
	req.key = values[0]
	return nil
}

func parseLabels(req *request) *failure {
	req.class = req.incoming.Header.Get(core.HeaderClass)
	if !req.access.KeysRequired || req.relayed() {
		req.tenant = req.incoming.Header.Get(core.HeaderTenant)
	}
	if req.class == "" {
		req.class = classInteractive
	}
	if req.class != classInteractive && req.class != classBatch {
		return callerError(http.StatusBadRequest, codes.BadRequest, "header Ebony-Class is neither interactive nor batch")
	}
	if !req.access.KeysRequired && len(req.tenant) > maxTenantBytes {
		return callerError(http.StatusBadRequest, codes.BadRequest, "header Ebony-Tenant is longer than 64 bytes")
	}
	if req.incoming.Method == http.MethodConnect {
		return callerError(http.StatusBadRequest, codes.BadRequest, "method CONNECT is not supported")
	}
	return nil
}

// parseOrigin reads the internal headers of a relayed request and removes them from a caller's request.
func (p *Proxy) parseOrigin(req *request, relayed bool) *failure {
	header := req.incoming.Header
	if !relayed {
		removeInternal(header)
		req.id = p.requestIDs.next()
		req.fromRegion = p.Self.Region
		return nil
	}
	req.id = header.Get(core.HeaderRequestID)
	req.fromRegion = header.Get(core.HeaderFromRegion)
	req.toRegion = header.Get(core.HeaderToRegion)
	if req.toRegion == p.Self.Region {
		req.toRegion = ""
	}
	tried := header.Get(core.HeaderTried)
	if tried != "" {
		req.triedHosts = strings.Split(tried, ",")
	}
	hops, err := strconv.Atoi(header.Get(core.HeaderHops))
	if err != nil || hops < 1 || req.id == "" || req.fromRegion == "" {
		return callerError(http.StatusBadRequest, codes.BadRequest, "internal headers of a relayed request are missing")
	}
	req.hops = hops
	if hops > maxHops {
		return notRun(codes.TooManyHops, "request was relayed more than 3 times")
	}
	return nil
}

// parseService looks up the service and its policy in the current settings, and the customer between them, so that a request without
// a known key learns nothing about services.
func (p *Proxy) parseService(req *request) *failure {
	snapshot := p.Settings.Current()
	if snapshot == nil {
		return notRun(codes.NotReady, "no settings are in force yet")
	}
	req.settingsRevision = snapshot.Revision()
	name, fail := p.chooseService(req, snapshot)
	if fail != nil {
		return fail
	}
	if fail := p.authorize(req, snapshot); fail != nil {
		return fail
	}
	policy, found := snapshot.Policies[name][p.Self.Zone]
	if !found {
		return callerError(http.StatusNotFound, codes.UnknownService, "no service named "+strconv.Quote(name)+" for host "+strconv.Quote(req.incoming.Host))
	}
	req.service = name
	req.policy = policy
	return nil
}

// chooseService returns the service of the request's route. If the settings have no routes for the host name, or the
// request was relayed, the Ebony-Service header or the host name selects the service.
func (p *Proxy) chooseService(req *request, snapshot *core.Snapshot) (string, *failure) {
	host := hostName(req.incoming)
	if req.relayed() || !snapshot.Routes.Serves(host) {
		name := req.incoming.Header.Get(core.HeaderService)
		if name == "" {
			name = snapshot.ServiceOf[host]
		}
		return name, nil
	}
	route, found := snapshot.Routes.Find(host, req.incoming.URL.Path)
	if !found {
		text := "no route of host " + strconv.Quote(host) + " has a prefix of path " + strconv.Quote(req.incoming.URL.Path)
		return "", callerError(http.StatusNotFound, codes.UnknownRoute, text)
	}
	req.route = route
	return p.splitter.choose(snapshot, route), nil
}

// readBody reads a small body into memory and leaves a larger one to be streamed.
func readBody(req *request) *failure {
	in := req.incoming
	limit := req.policy.RequestBodyBytes
	if in.ContentLength > limit {
		return bodyTooLarge(limit)
	}
	if in.Body == nil || in.Body == http.NoBody || in.ContentLength == 0 {
		return nil
	}
	bufferLimit := int64(maxBufferedBodyBytes)
	if req.key != "" {
		bufferLimit = maxKeyedBodyBytes
	}
	if in.ContentLength > bufferLimit && req.key == "" {
		req.streamed = true
		return nil
	}
	var buffer bytes.Buffer
	if in.ContentLength > 0 && in.ContentLength <= bufferLimit {
		buffer.Grow(int(in.ContentLength) + bytes.MinRead)
	}
	n, err := io.Copy(&buffer, io.LimitReader(in.Body, bufferLimit+1))
	if err != nil {
		return callerError(http.StatusBadRequest, codes.BadRequest, "request body could not be read: "+err.Error())
	}
	req.body = buffer.Bytes()
	if n > limit {
		return bodyTooLarge(limit)
	}
	if n > bufferLimit && req.key != "" {
		return callerError(http.StatusRequestEntityTooLarge, codes.KeyedBodyTooLarge, "body of a keyed request exceeds 1048576 bytes")
	}
	req.streamed = n > bufferLimit
	return nil
}
