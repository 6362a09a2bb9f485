package stand

import (
	"context"
	"encoding/json"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

const (
	// HeaderChecksum carries the CRC-32 (IEEE) of the body in hexadecimal.
	HeaderChecksum = "X-Checksum"
	// HeaderRunID identifies one piece of work of a request without an Idempotency-Key.
	HeaderRunID = "X-Run-Id"
	// HeaderToken is echoed in the response, and the body is made of it.
	HeaderToken = "X-Token"
	// maxRequestBytes bounds the request body that a target reads.
	maxRequestBytes = 64 << 20
)

// Target is one upstream target on its own port.
type Target struct {
	behaviour Behaviour
	cold      int64
	config    Config
	conns     map[*conn]struct{}
	evidence  Evidence
	mutex     sync.Mutex
	ordered   time.Time
	server    *http.Server
	// silent holds the connections made silent, which no longer count.
	silent map[*conn]struct{}
}

// newTarget starts a target on a port of the loopback address.
func newTarget(config Config, port int) (*Target, error) {
	raw, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port))) //nolint:noctx // Binding does not wait.
	if err != nil {
		return nil, errors.Trace(err)
	}
	t := &Target{config: config, conns: map[*conn]struct{}{}, silent: map[*conn]struct{}{}}
	t.evidence.Address = raw.Addr().String()
	t.reset()
	mux := http.NewServeMux()
	mux.HandleFunc("/", t.serve)
	mux.HandleFunc("GET /health", t.serveHealth)
	mux.HandleFunc("GET /load", t.serveLoad)
	t.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = t.server.Serve(&listener{Listener: raw, target: t}) }()
	return t, nil
}

// Address returns the IP address and port of the target.
func (t *Target) Address() string {
	return t.evidence.Address
}

// Evidence returns what the target saw; the runs of each key are included on request only.
func (t *Target) Evidence(withRuns bool) Evidence {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.evidence
	e.Connections = len(t.conns)
	e.ReachedUs = slices.Clone(e.ReachedUs)
	e.Runs = nil
	if withRuns {
		e.Runs = make(map[string]int64, len(t.evidence.Runs))
	}
	for key, runs := range t.evidence.Runs {
		if withRuns {
			e.Runs[key] = runs
		}
	}
	return e
}

// Order replaces the behaviour of the target.
func (t *Target) Order(behaviour Behaviour) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.behaviour = behaviour
	t.cold = behaviour.ColdRequests
	t.ordered = time.Now()
	t.evidence.ReachedUs = nil
	if !behaviour.Silent {
		return
	}
	for c := range t.conns {
		c.silenced.Store(true)
		t.silent[c] = struct{}{}
	}
	clear(t.conns)
}

// begin counts a request that starts to run.
func (t *Target) begin(in *http.Request) (time.Duration, Behaviour) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.evidence.Requests++
	t.evidence.InUse++
	t.evidence.HighConcurrent = max(t.evidence.HighConcurrent, t.evidence.InUse)
	for len(t.evidence.ReachedUs) < t.evidence.InUse {
		t.evidence.ReachedUs = append(t.evidence.ReachedUs, time.Since(t.ordered).Microseconds())
	}
	if t.evidence.InUse > t.config.Slots {
		t.evidence.OverSlots++
	}
	if t.behaviour.Drain {
		t.evidence.AfterDrain++
	}
	key := in.Header.Get(core.HeaderIdempotent)
	if key == "" {
		key = in.Header.Get(HeaderRunID)
	}
	if key != "" && (in.Method == http.MethodPost || in.Method == http.MethodPatch) {
		t.evidence.Runs[key]++
	}
	wait := t.config.ServiceTime
	if t.config.Exponential {
		wait = time.Duration(rand.ExpFloat64() * float64(wait))
	}
	if t.cold > 0 {
		t.cold--
		wait += time.Duration(t.behaviour.ColdMs) * time.Millisecond
	}
	return wait, t.behaviour
}

// close stops the target and closes all connections.
func (t *Target) close() error {
	t.reset()
	return t.server.Close()
}

// end counts a request that no longer runs.
func (t *Target) end(cause error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.evidence.InUse--
	if errors.Is(cause, context.DeadlineExceeded) {
		t.evidence.DeadlinePassed++
	} else if cause != nil {
		t.evidence.Cancelled++
	}
}

// forget removes a closed connection.
func (t *Target) forget(c *conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.conns, c)
	delete(t.silent, c)
}

// remember counts a new connection.
func (t *Target) remember(c *conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.conns[c] = struct{}{}
	t.evidence.HighConnections = max(t.evidence.HighConnections, len(t.conns))
}

// reset forgets the evidence and the orders and closes the silent connections.
func (t *Target) reset() {
	t.mutex.Lock()
	var silent []*conn
	for c := range t.silent {
		silent = append(silent, c)
	}
	t.behaviour = Behaviour{}
	t.cold = 0
	t.ordered = time.Now()
	t.evidence = Evidence{
		Address:         t.evidence.Address,
		ConnectionLimit: t.config.Connections,
		HighConcurrent:  t.evidence.InUse,
		HighConnections: len(t.conns),
		InUse:           t.evidence.InUse,
		Runs:            map[string]int64{},
		Slots:           t.config.Slots,
	}
	t.mutex.Unlock()
	for _, c := range silent {
		_ = c.Close()
	}
}

// serve runs one request.
func (t *Target) serve(w http.ResponseWriter, in *http.Request) {
	if t.shed() {
		w.Header().Set(core.HeaderRan, string(core.RanNo))
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shedding load", http.StatusServiceUnavailable)
		return
	}
	_, err := io.Copy(io.Discard, http.MaxBytesReader(w, in.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, "request body: "+err.Error(), http.StatusBadRequest)
		return
	}
	ctx := in.Context()
	ms, err := strconv.ParseInt(in.Header.Get(core.HeaderDeadline), 10, 64)
	if err == nil {
		limited, cancel := context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
		ctx = limited
	}
	wait, behaviour := t.begin(in)
	if behaviour.Hang {
		// A hung target takes no notice of deadlines; the request ends with its connection.
		ctx = in.Context()
	}
	err = work(ctx, wait, behaviour)
	t.end(err)
	switch {
	case behaviour.Hang:
		panic(http.ErrAbortHandler)
	case err != nil:
		http.Error(w, "stopped: "+err.Error(), http.StatusGatewayTimeout)
	case behaviour.Fail:
		http.Error(w, "ordered to fail", http.StatusInternalServerError)
	default:
		t.write(w, in.Header.Get(HeaderToken), behaviour.Truncate)
	}
}

// serveHealth reports the state of the target.
func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	t.mutex.Lock()
	behaviour := t.behaviour
	t.mutex.Unlock()
	state := "ok"
	switch {
	case behaviour.FalseHealth != "":
		state = behaviour.FalseHealth
	case behaviour.Drain:
		state = "draining"
	case behaviour.Fail, behaviour.Hang:
		state = "failing"
	}
	status := http.StatusOK
	if state != "ok" {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, map[string]string{"state": state})
}

// serveLoad reports the load of the target.
func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	t.mutex.Lock()
	free := max(0, t.config.Slots-t.evidence.InUse)
	used := t.evidence.InUse
	if t.behaviour.FalseFreeSlots != nil {
		free = *t.behaviour.FalseFreeSlots
		used = max(0, t.config.Slots-free)
	}
	connections := len(t.conns)
	t.mutex.Unlock()
	writeJSON(w, http.StatusOK, map[string]int{"connections": connections, "free_slots": free, "in_use": used, "slots": t.config.Slots})
}

// shed reports whether the request is to be rejected and counts it.
func (t *Target) shed() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.behaviour.Shed {
		t.evidence.Shed++
	}
	return t.behaviour.Shed
}

// write sends a body made of the token, with its checksum.
func (t *Target) write(w http.ResponseWriter, token string, truncate bool) {
	body := Body(token, t.config.BodyBytes)
	header := w.Header()
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(HeaderChecksum, strconv.FormatUint(uint64(crc32.ChecksumIEEE(body)), 16))
	header.Set(HeaderToken, token)
	if !truncate {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// Body returns size bytes that repeat the token.
func Body(token string, size int) []byte {
	line := token + "\n"
	return []byte(strings.Repeat(line, size/len(line)+1)[:size])
}

// work takes the service time, or ends early with the reason.
func work(ctx context.Context, wait time.Duration, behaviour Behaviour) error {
	if behaviour.Hang {
		<-ctx.Done()
		return ctx.Err()
	}
	if behaviour.Fail {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
