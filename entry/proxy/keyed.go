package proxy

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/core/event"
)

// recordTimeout limits the time to record an outcome. The caller of a request that has run does not wait for it.
const recordTimeout = 5 * time.Second

// dedupRequest returns the deduplication request of this attempt, with a fingerprint of its method, URI and body.
func (r *request) dedupRequest() core.DedupRequest {
	hash := sha256.New()
	_, _ = io.WriteString(hash, r.incoming.Method+"\n"+r.incoming.URL.RequestURI()+"\n")
	_, _ = hash.Write(r.body)
	return core.DedupRequest{
		Attempt:     r.id,
		Fingerprint: hex.EncodeToString(hash.Sum(nil)),
		Key:         r.key,
		RetentionS:  r.policy.IdempotencyRetentionS,
		Service:     r.service,
		Tenant:      r.tenant,
	}
}

// recordOutcome records the outcome of an attempt for which Begin returned DedupNew.
func (p *Proxy) recordOutcome(ctx context.Context, dedup core.DedupRequest, outcome core.DedupOutcome) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := p.Deduper.Finish(ctx, dedup, outcome)
	if err != nil {
		event.RequestNotRecorded.Write(p.Log, zap.String("request_id", dedup.Attempt), zap.String("service", dedup.Service), zap.Error(err))
	}
}

// replay sends the recorded response to the caller.
func (p *Proxy) replay(req *request, outcome core.DedupOutcome) {
	header := req.writer.Header()
	maps.Copy(header, http.Header(outcome.Header))
	p.setResponseHeaders(req, header, codes.KeyReplayed, core.RanYes)
	header.Set("Content-Length", strconv.Itoa(len(outcome.Body)))
	req.writer.WriteHeader(outcome.Status)
	_, _ = req.writer.Write(outcome.Body)
}

// runKeyed runs the request and records its outcome, even if the response is truncated.
func (p *Proxy) runKeyed(ctx context.Context, req *request, dedup core.DedupRequest) {
	result := p.runAttempts(ctx, req)
	if result.ran != core.RanYes {
		p.recordOutcome(ctx, dedup, core.DedupOutcome{Ran: req.reportableRan(result.ran)})
		p.writeResult(req, result, nil)
		return
	}
	outcome := core.DedupOutcome{Ran: core.RanUnknown}
	// The server sends the last bytes of the response when the handler returns, so the handler does not wait for the
	// outcome to be stored.
	defer func() { p.tasks.Go(func() { p.recordOutcome(ctx, dedup, outcome) }) }()
	record := &recorder{limit: req.policy.IdempotencyAnswerBytes}
	header := recordedHeader(result.response.Header)
	p.respond(req, result, record)
	outcome = core.DedupOutcome{
		Body:      record.body,
		Header:    header,
		Ran:       core.RanYes,
		Status:    result.response.StatusCode,
		Truncated: record.overflow || len(result.response.Trailer) > 0,
	}
}

// serveKeyed runs a keyed request at most once. It continues after the caller has disconnected, so that a retry gets the
// recorded response rather than an error that the request may have run.
func (p *Proxy) serveKeyed(ctx context.Context, req *request) {
	ctx = context.WithoutCancel(ctx)
	dedup := req.dedupRequest()
	beginCtx, cancel := context.WithTimeout(ctx, req.deadline.Sub(p.Timer.Now()))
	result, err := p.Deduper.Begin(beginCtx, dedup)
	cancel()
	if err != nil {
		p.writeError(req, notRun(codes.KeyStoreUnavailable, "the idempotency key could not be recorded: "+err.Error()))
		return
	}
	switch result.State {
	case core.DedupNew:
		p.runKeyed(ctx, req, dedup)
	case core.DedupDone:
		if result.Outcome.Truncated {
			p.writeError(req, &failure{code: codes.KeyAnswerNotRecorded, ran: core.RanYes, status: http.StatusConflict, text: "the request has run; its response was not recorded"})
			return
		}
		p.replay(req, result.Outcome)
	case core.DedupRunning:
		fail := mayHaveRun(codes.KeyRunning, http.StatusConflict, "another attempt with this idempotency key is running")
		fail.retryAfter = time.Second
		p.writeError(req, fail)
	case core.DedupMismatch:
		p.writeError(req, callerError(http.StatusUnprocessableEntity, codes.KeyMismatch, "the idempotency key was used for a different request"))
	default:
		p.writeError(req, mayHaveRun(codes.KeyMayHaveRun, http.StatusConflict, "an attempt with this idempotency key may have run"))
	}
}

// recordedHeader returns the response headers that are recorded for a replay.
func recordedHeader(header http.Header) http.Header {
	recorded := header.Clone()
	removeHopByHop(recorded)
	for name := range recorded {
		if strings.HasPrefix(name, "Ebony-") {
			delete(recorded, name)
		}
	}
	return recorded
}
