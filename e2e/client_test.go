package e2e_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"ebonyrouter.dev/core"
)

// response is the outcome of one request as its caller saw it.
type response struct {
	startedAt time.Time
	// code is the result code.
	code string
	err  error
	// ran reports whether an upstream ran the request.
	ran core.Ran
	// sent is set if the request was written to a connection at least once.
	sent    bool
	elapsed time.Duration
	// text is the start of the body.
	text string
	// address is that of the entry host.
	address string
}

// String implements fmt.Stringer.String. The default format would print the memory address of err instead of its text.
func (r response) String() string {
	return fmt.Sprintf("{started %s, host %s, sent %t, elapsed %v: code %q, ran %q, error %v, %s}",
		r.startedAt.Format("05.000"), r.address, r.sent, r.elapsed, r.code, r.ran, r.err, r.text)
}

// ok reports whether the caller received a complete response of an upstream.
func (r response) ok() bool {
	return r.err == nil && r.code == "1000"
}

// caller sends lookups and requests for one service to entry hosts.
type caller struct {
	client  *http.Client
	service string
}

func newCaller(service string) *caller {
	return &caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 10 * time.Second}, service: service}
}

// send sends one request to an entry host: a GET, or a POST with an idempotency key if key is not empty.
func (c *caller) send(address, key string) response {
	method := http.MethodGet
	if key != "" {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+"/work", strings.NewReader(""))
	if err != nil {
		return response{err: err}
	}
	request.Header.Set(core.HeaderService, c.service)
	token := key
	if token == "" {
		token = fmt.Sprintf("read-%d", lastToken.Add(1))
	}
	request.Header.Set("X-Token", token)
	if key != "" {
		request.Header.Set(core.HeaderIdempotencyKey, key)
	}
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { sent.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	started := time.Now()
	r, err := c.client.Do(request)
	if err != nil {
		return response{startedAt: started, err: err, sent: sent.Load(), address: address, elapsed: time.Since(started)}
	}
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(r.Body)
	if err == nil && r.Header.Get(core.HeaderCode) == "1000" {
		err = checkResponse(r, body, token)
	}
	return response{
		startedAt: started, code: r.Header.Get(core.HeaderCode), err: err, ran: core.Ran(r.Header.Get(core.HeaderRan)),
		sent: true, text: string(body[:min(len(body), 200)]), address: address, elapsed: time.Since(started),
	}
}

// errMismatch means that a caller received a response that is incomplete or belongs to another request.
var errMismatch = errors.New("mismatch")

// lastToken is the number in the token of the latest request without a key. It makes these tokens unique.
var lastToken atomic.Int64

// checkResponse returns errMismatch unless the body matches its checksum, and the headers and the body have the token of the
// request.
func checkResponse(r *http.Response, body []byte, token string) error {
	sum := strconv.FormatUint(uint64(crc32.ChecksumIEEE(body)), 16)
	line, _, _ := strings.Cut(string(body), "\n")
	if r.Header.Get("X-Checksum") != sum || r.Header.Get("X-Token") != token || !strings.HasPrefix(token, line) {
		return fmt.Errorf("%w: %d bytes with token %q, want %q", errMismatch, len(body), r.Header.Get("X-Token"), token)
	}
	return nil
}

// lookup requests the ranked list of entry hosts for the service from an entry host.
func (c *caller) lookup(address string) (core.LookupResponse, error) {
	var found core.LookupResponse
	r, err := c.client.Get("http://" + address + "/v1/lookup?service=" + c.service)
	if err != nil {
		return found, err
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		return found, fmt.Errorf("lookup: status %d", r.StatusCode)
	}
	return found, json.NewDecoder(r.Body).Decode(&found)
}
