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

// answer is what a caller saw of one request.
type answer struct {
	at   time.Time
	code string
	err  error
	ran  core.Ran
	// sent means that the request was written to a connection at least once.
	sent bool
	took time.Duration
	text string
	to   string
}

// String implements fmt.Stringer.String; the default format shows the address of an error.
func (a answer) String() string {
	return fmt.Sprintf("{%s to %s, sent %t, took %v: code %q ran %q, error %v, %s}",
		a.at.Format("05.000"), a.to, a.sent, a.took, a.code, a.ran, a.err, a.text)
}

// ok reports whether the caller got a whole response of an upstream.
func (a answer) ok() bool {
	return a.err == nil && a.code == "1000"
}

// caller sends requests to one entry host, or to those that look-ups name.
type caller struct {
	client  *http.Client
	service string
}

func newCaller(service string) *caller {
	return &caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 10 * time.Second}, service: service}
}

// send sends one request to an entry host; a key makes it a keyed POST.
func (c *caller) send(address, key string) answer {
	method := http.MethodGet
	if key != "" {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+"/work", strings.NewReader(""))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set(core.HeaderService, c.service)
	token := key
	if token == "" {
		token = fmt.Sprintf("read-%d", nextToken.Add(1))
	}
	request.Header.Set("X-Token", token)
	if key != "" {
		request.Header.Set(core.HeaderIdempotent, key)
	}
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { sent.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	started := time.Now()
	r, err := c.client.Do(request)
	if err != nil {
		return answer{at: started, err: err, sent: sent.Load(), to: address, took: time.Since(started)}
	}
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(r.Body)
	if err == nil && r.Header.Get(core.HeaderCode) == "1000" {
		err = checkAnswer(r, body, token)
	}
	return answer{
		at: started, code: r.Header.Get(core.HeaderCode), err: err, ran: core.Ran(r.Header.Get(core.HeaderRan)),
		sent: true, text: string(body[:min(len(body), 200)]), to: address, took: time.Since(started),
	}
}

// errMismatch means that a caller got a response that is not whole or not the one to its own request.
var errMismatch = errors.New("mismatch")

// nextToken numbers the requests without a key.
var nextToken atomic.Int64

// checkAnswer compares a response with its checksum and with the token of its request.
func checkAnswer(r *http.Response, body []byte, token string) error {
	sum := strconv.FormatUint(uint64(crc32.ChecksumIEEE(body)), 16)
	line, _, _ := strings.Cut(string(body), "\n")
	if r.Header.Get("X-Checksum") != sum || r.Header.Get("X-Token") != token || !strings.HasPrefix(token, line) {
		return fmt.Errorf("%w: %d bytes with token %q instead of %q", errMismatch, len(body), r.Header.Get("X-Token"), token)
	}
	return nil
}

// lookup asks an entry host which hosts to use.
func (c *caller) lookup(address string) (core.LookupAnswer, error) {
	var a core.LookupAnswer
	r, err := c.client.Get("http://" + address + "/v1/lookup?service=" + c.service)
	if err != nil {
		return a, err
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		return a, fmt.Errorf("look-up: status %d", r.StatusCode)
	}
	return a, json.NewDecoder(r.Body).Decode(&a)
}
