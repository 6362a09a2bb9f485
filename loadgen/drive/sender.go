package drive

import (
	"bytes"
	"context"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

// Headers of the targets of test upstreams.
const (
	headerChecksum = "X-Checksum"
	headerRunID    = "X-Run-Id"
	headerToken    = "X-Token"
)

// lookupRetryDelay keeps a closed loop from spinning while no entry host responds to lookups.
const lookupRetryDelay = 10 * time.Millisecond

// lateGrace is how long after its deadline a request still waits for its response, so that late responses are recorded.
const lateGrace = 2 * time.Second

// sender sends single requests and verifies their responses.
type sender struct {
	body   []byte
	client *http.Client
	config Config
	picker picker
}

// classifyError returns the outcome of a transport error and reports whether another host may be tried. phase is what was being
// received: the response or its body.
func (s *sender) classifyError(err error, phase string) (outcome, bool) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome{result: "no connection"}, true
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return outcome{result: phase + " timed out"}, false
	}
	return outcome{result: phase + " broken"}, s.retrySafe()
}

// classifyResponse verifies a complete response and reports whether another host may be tried.
func (s *sender) classifyResponse(response *http.Response, body []byte, token string) (outcome, bool) {
	code := response.Header.Get(core.HeaderCode)
	ran := response.Header.Get(core.HeaderRan)
	result := "status " + strconv.Itoa(response.StatusCode) + " code " + code + " ran " + ran
	if response.StatusCode != http.StatusOK {
		if ran != string(core.RanNo) {
			return outcome{result: result}, false
		}
		tryNext := code == codes.Draining.String() || code == codes.NotReady.String()
		rejected := outcome{kind: kindRejected, result: result}
		if s.config.Method == http.MethodPost || s.config.Method == http.MethodPatch {
			rejected.token = token
		}
		return rejected, tryNext
	}
	sum := strconv.FormatUint(uint64(crc32.ChecksumIEEE(body)), 16)
	line, _, _ := bytes.Cut(body, []byte("\n"))
	intact := s.config.Method == http.MethodHead || (response.Header.Get(headerChecksum) == sum && bytes.HasPrefix([]byte(token), line))
	if !intact || response.Header.Get(headerToken) != token {
		return outcome{kind: kindMismatch, result: "mismatch of " + result}, false
	}
	return outcome{kind: kindSuccess, result: result}, false
}

// retrySafe reports whether it is safe to send the request again after it may have run.
func (s *sender) retrySafe() bool {
	return s.config.Keyed || (s.config.Method != http.MethodPost && s.config.Method != http.MethodPatch)
}

// request builds one request. The type of its body is unknown to net/http, even if the body is empty, so that the transport
// cannot rewind it and retry the request by itself, which would hide errors. The deadline counts from the time at which the
// request was due, as the latency does.
func (s *sender) request(ctx context.Context, address, token string, due time.Time) (*http.Request, error) {
	body := io.MultiReader(bytes.NewReader(s.body))
	request, err := http.NewRequestWithContext(ctx, s.config.Method, "http://"+address+s.config.Path, body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.ContentLength = int64(len(s.body))
	request.Header.Set(core.HeaderService, s.config.Service)
	remaining := s.config.Deadline - time.Since(due)
	request.Header.Set(core.HeaderDeadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	request.Header.Set(headerToken, token)
	request.Header.Set(headerRunID, token)
	if s.config.Tenant != "" {
		request.Header.Set(core.HeaderTenant, s.config.Tenant)
	}
	if s.config.Keyed {
		request.Header.Set(core.HeaderIdempotencyKey, token)
	}
	return request, nil
}

// send sends one request to the picked addresses in turn. It tries the next one only if the request did not run or may
// safely run again; after a timeout it tries no other.
func (s *sender) send(ctx context.Context, worker int, token string, due time.Time) outcome {
	addresses, err := s.picker.pick(worker)
	if err != nil {
		time.Sleep(lookupRetryDelay)
		return outcome{result: "look-up failed"}
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.Deadline+lateGrace)
	defer cancel()
	var lastOutcome outcome
	for n, address := range addresses {
		var tryNext bool
		lastOutcome, tryNext = s.attempt(ctx, address, token, due)
		lastOutcome.failovers = int64(n)
		if !tryNext {
			return lastOutcome
		}
	}
	return lastOutcome
}

// attempt sends the request to one address and reports whether the next one may be tried.
func (s *sender) attempt(ctx context.Context, address, token string, due time.Time) (outcome, bool) {
	request, err := s.request(ctx, address, token, due)
	if err != nil {
		return outcome{result: "bad request"}, false
	}
	response, err := s.client.Do(request)
	if err != nil {
		return s.classifyError(err, "response")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return s.classifyError(err, "body")
	}
	return s.classifyResponse(response, body, token)
}
