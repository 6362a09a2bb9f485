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

// Headers of the upstream stand-in.
const (
	headerChecksum = "X-Checksum"
	headerRunID    = "X-Run-Id"
	headerToken    = "X-Token"
)

// lookupPause keeps a closed loop from spinning while no entry host answers look-ups.
const lookupPause = 10 * time.Millisecond

// lateGrace is the time after the deadline for which a response is still awaited, so that late ones are seen.
const lateGrace = 2 * time.Second

// sender sends single requests and verifies their responses.
type sender struct {
	body   []byte
	client *http.Client
	config Config
	picker picker
}

// failure sorts a transport error and says whether another host may be tried.
func (s *sender) failure(err error, during string) (outcome, bool) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome{result: "no connection"}, true
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return outcome{result: during + " timed out"}, false
	}
	return outcome{result: during + " broken"}, s.repeatable()
}

// judge verifies a complete response.
func (s *sender) judge(response *http.Response, body []byte, token string) (outcome, bool) {
	code := response.Header.Get(core.HeaderCode)
	ran := response.Header.Get(core.HeaderRan)
	result := "status " + strconv.Itoa(response.StatusCode) + " code " + code + " ran " + ran
	if response.StatusCode != http.StatusOK {
		if ran != string(core.RanNo) {
			return outcome{result: result}, false
		}
		movable := code == codes.Draining.String() || code == codes.NotReady.String()
		rejected := outcome{kind: kindRejected, result: result}
		if s.config.Method == http.MethodPost || s.config.Method == http.MethodPatch {
			rejected.token = token
		}
		return rejected, movable
	}
	sum := strconv.FormatUint(uint64(crc32.ChecksumIEEE(body)), 16)
	line, _, _ := bytes.Cut(body, []byte("\n"))
	whole := s.config.Method == http.MethodHead || (response.Header.Get(headerChecksum) == sum && bytes.HasPrefix([]byte(token), line))
	if !whole || response.Header.Get(headerToken) != token {
		return outcome{kind: kindMismatch, result: "mismatch of " + result}, false
	}
	return outcome{kind: kindSuccess, result: result}, false
}

// repeatable reports whether sending the request again is safe.
func (s *sender) repeatable() bool {
	return s.config.Keyed || (s.config.Method != http.MethodPost && s.config.Method != http.MethodPatch)
}

// request builds one request. Its body is of a type that net/http does not know, also when it is empty: the
// transport then cannot rewind it and does not repeat the request by itself, which would hide errors. The deadline
// counts from the time at which the request was due, like the latency does.
func (s *sender) request(ctx context.Context, address, token string, due time.Time) (*http.Request, error) {
	body := io.MultiReader(bytes.NewReader(s.body))
	request, err := http.NewRequestWithContext(ctx, s.config.Method, "http://"+address+s.config.Path, body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.ContentLength = int64(len(s.body))
	request.Header.Set(core.HeaderService, s.config.Service)
	left := s.config.Deadline - time.Since(due)
	request.Header.Set(core.HeaderDeadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	request.Header.Set(headerToken, token)
	request.Header.Set(headerRunID, token)
	if s.config.Tenant != "" {
		request.Header.Set(core.HeaderTenant, s.config.Tenant)
	}
	if s.config.Keyed {
		request.Header.Set(core.HeaderIdempotent, token)
	}
	return request, nil
}

// send sends one request, to the next address when the last one certainly did not or need not run it only once.
func (s *sender) send(ctx context.Context, worker int, token string, due time.Time) outcome {
	addresses, err := s.picker.pick(worker)
	if err != nil {
		time.Sleep(lookupPause)
		return outcome{result: "look-up failed"}
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.Deadline+lateGrace)
	defer cancel()
	var last outcome
	for n, address := range addresses {
		var movable bool
		last, movable = s.try(ctx, address, token, due)
		last.moved = int64(n)
		if !movable {
			return last
		}
	}
	return last
}

// try sends the request to one address and says whether the next one may be tried.
func (s *sender) try(ctx context.Context, address, token string, due time.Time) (outcome, bool) {
	request, err := s.request(ctx, address, token, due)
	if err != nil {
		return outcome{result: "bad request"}, false
	}
	response, err := s.client.Do(request)
	if err != nil {
		return s.failure(err, "response")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return s.failure(err, "body")
	}
	return s.judge(response, body, token)
}
