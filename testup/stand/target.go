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
	// HeaderRunID identifies the work of a request without an Idempotency-Key, to count its runs.
	HeaderRunID = "X-Run-Id"
	// HeaderToken carries a token that the response header echoes and the response body repeats.
	HeaderToken = "X-Token"
	// maxRequestBytes limits the request body that a target reads.
	maxRequestBytes = 64 << 20
)

// Target is one target of the test upstream, on its own port.
type Target struct {
	behaviour      Behaviour
	coldRemaining  int64
	config         Config
	conns          map[*conn]struct{}
	evidence       Evidence
	mutex          sync.Mutex
	behaviourSetAt time.Time
	server         *http.Server
	// unresponsive holds the connections that were made unresponsive; they are no longer in conns.
	unresponsive map[*conn]struct{}
}

// newTarget starts a target on a port of the loopback address.
func newTarget(config Config, port int) (*Target, error) {
	tcpListener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port))) //nolint:noctx // Binding does not block.
	if err != nil {
		return nil, errors.Trace(err)
	}
	t := &Target{config: config, conns: map[*conn]struct{}{}, unresponsive: map[*conn]struct{}{}}
	t.evidence.Address = tcpListener.Addr().String()
	t.reset()
	mux := http.NewServeMux()
	mux.HandleFunc("/", t.serve)
	mux.HandleFunc("GET /health", t.serveHealth)
	mux.HandleFunc("GET /load", t.serveLoad)
	t.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = t.server.Serve(&listener{Listener: tcpListener, target: t}) }()
	return t, nil
}

// Address returns the IP address and port of the target.
func (t *Target) Address() string {
	return t.evidence.Address
}

// Evidence returns a copy of the evidence; the runs of each key are included only if withRuns is set.
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

// SetBehaviour replaces the behaviour of the target, as an order does; it restarts the measurement of Evidence.ReachedUs.
func (t *Target) SetBehaviour(behaviour Behaviour) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.behaviour = behaviour
	t.coldRemaining = behaviour.ColdRequests
	t.behaviourSetAt = time.Now()
	t.evidence.ReachedUs = nil
	if !behaviour.Silent {
		return
	}
	for c := range t.conns {
		c.unresponsive.Store(true)
		t.unresponsive[c] = struct{}{}
	}
	clear(t.conns)
}

// beginRequest counts a request that starts to run and returns its service time and the behaviour of the target.
func (t *Target) beginRequest(r *http.Request) (time.Duration, Behaviour) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.evidence.Requests++
	t.evidence.InUse++
	t.evidence.HighConcurrent = max(t.evidence.HighConcurrent, t.evidence.InUse)
	for len(t.evidence.ReachedUs) < t.evidence.InUse {
		t.evidence.ReachedUs = append(t.evidence.ReachedUs, time.Since(t.behaviourSetAt).Microseconds())
	}
	if t.evidence.InUse > t.config.Slots {
		t.evidence.OverSlots++
	}
	if t.behaviour.Drain {
		t.evidence.AfterDrain++
	}
	key := r.Header.Get(core.HeaderIdempotencyKey)
	if key == "" {
		key = r.Header.Get(HeaderRunID)
	}
	if key != "" && (r.Method == http.MethodPost || r.Method == http.MethodPatch) {
		t.evidence.Runs[key]++
	}
	serviceTime := t.config.ServiceTime
	if t.config.Exponential {
		serviceTime = time.Duration(rand.ExpFloat64() * float64(serviceTime))
	}
	if t.coldRemaining > 0 {
		t.coldRemaining--
		serviceTime += time.Duration(t.behaviour.ColdMs) * time.Millisecond
	}
	return serviceTime, t.behaviour
}

// close stops the target and closes all connections.
func (t *Target) close() error {
	t.reset()
	return t.server.Close()
}

// endRequest counts a request that has ended; cause is the error that stopped it early, if any.
func (t *Target) endRequest(cause error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.evidence.InUse--
	if errors.Is(cause, context.DeadlineExceeded) {
		t.evidence.DeadlinePassed++
	} else if cause != nil {
		t.evidence.Cancelled++
	}
}

// removeConn removes a closed connection.
func (t *Target) removeConn(c *conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.conns, c)
	delete(t.unresponsive, c)
}

// addConn adds and counts a new connection.
func (t *Target) addConn(c *conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.conns[c] = struct{}{}
	t.evidence.HighConnections = max(t.evidence.HighConnections, len(t.conns))
}

// reset clears the evidence and the behaviour and closes the unresponsive connections.
func (t *Target) reset() {
	t.mutex.Lock()
	var unresponsive []*conn
	for c := range t.unresponsive {
		unresponsive = append(unresponsive, c)
	}
	t.behaviour = Behaviour{}
	t.coldRemaining = 0
	t.behaviourSetAt = time.Now()
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
	for _, c := range unresponsive {
		_ = c.Close()
	}
}

// serve handles one request according to the behaviour of the target.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	if t.rejects() {
		w.Header().Set(core.HeaderRan, string(core.RanNo))
		w.Header().Set(core.HeaderRequestID, r.Header.Get(core.HeaderRequestID))
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shedding load", http.StatusServiceUnavailable)
		return
	}
	_, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, "request body: "+err.Error(), http.StatusBadRequest)
		return
	}
	ctx := r.Context()
	ms, err := strconv.ParseInt(r.Header.Get(core.HeaderDeadline), 10, 64)
	if err == nil {
		deadlineCtx, cancel := context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
		ctx = deadlineCtx
	}
	serviceTime, behaviour := t.beginRequest(r)
	if behaviour.Hang {
		// A hung target ignores deadlines; the request ends with its connection.
		ctx = r.Context()
	}
	err = simulateWork(ctx, serviceTime, behaviour)
	t.endRequest(err)
	switch {
	case behaviour.Hang:
		panic(http.ErrAbortHandler)
	case err != nil:
		http.Error(w, "stopped: "+err.Error(), http.StatusGatewayTimeout)
	case behaviour.Fail:
		http.Error(w, "ordered to fail", http.StatusInternalServerError)
	default:
		t.writeBody(w, r.Header.Get(HeaderToken), behaviour.Truncate)
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
	freeSlots := max(0, t.config.Slots-t.evidence.InUse)
	inUse := t.evidence.InUse
	if t.behaviour.FalseFreeSlots != nil {
		freeSlots = *t.behaviour.FalseFreeSlots
		inUse = max(0, t.config.Slots-freeSlots)
	}
	connections := len(t.conns)
	t.mutex.Unlock()
	writeJSON(w, http.StatusOK, map[string]int{"connections": connections, "free_slots": freeSlots, "in_use": inUse, "slots": t.config.Slots})
}

// rejects reports whether the target sheds load; if so, it counts the request as shed.
func (t *Target) rejects() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.behaviour.Shed {
		t.evidence.Shed++
	}
	return t.behaviour.Shed
}

// writeBody sends a body that repeats the token, with its checksum. If truncate is set, it closes the connection after half
// of the body.
func (t *Target) writeBody(w http.ResponseWriter, token string, truncate bool) {
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

// Body returns size bytes of repeated lines with the token.
func Body(token string, size int) []byte {
	line := token + "\n"
	return []byte(strings.Repeat(line, size/len(line)+1)[:size])
}

// simulateWork waits for the service time and returns the error of ctx if it ends first. A hung target waits until ctx ends,
// and a failing one does not wait.
func simulateWork(ctx context.Context, serviceTime time.Duration, behaviour Behaviour) error {
	if behaviour.Hang {
		<-ctx.Done()
		return ctx.Err()
	}
	if behaviour.Fail {
		return nil
	}
	timer := time.NewTimer(serviceTime)
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
