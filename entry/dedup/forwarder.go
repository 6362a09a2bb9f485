package dedup

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/wire"
)

const (
	// writerTimeout bounds the wait for the preferred writer; the round-trip time between two regions is 110 ms.
	writerTimeout = 500 * time.Millisecond
	// MaxLinkRequests is the number of concurrent requests that one link must support: 3200 bookings a second cause 6400
	// requests a second, which take 10 to 40 ms each.
	MaxLinkRequests = 512
)

var _ core.Deduper = (*Forwarder)(nil)

// Forwarder forwards the calls for each shard to the preferred writer of the shard, which groups the writes of all hosts.
//
// The preferred writer is only an optimisation. If its response is missing, the call is retried locally as the next try
// of the attempt. The store decides which try owns the record, and the response to a lower try is never used.
type Forwarder struct {
	config    ForwarderConfig
	fallbacks atomic.Int64
	handled   atomic.Int64
	local     atomic.Int64
	sent      atomic.Int64
	// waiting is the number of Begins that poll a running record.
	waiting atomic.Int64
	writers *writers
}

// NewForwarder returns a Forwarder and registers its handlers on the links.
func NewForwarder(config ForwarderConfig) *Forwarder {
	f := &Forwarder{config: config, writers: newWriters(config)}
	config.Links.HandleRequest(core.TopicDedupBegin, f.handleBegin)
	config.Links.HandleRequest(core.TopicDedupFinish, f.handleFinish)
	return f
}

// Begin implements core.Deduper.Begin. If another attempt of the key is running, Begin waits for its outcome: an outcome
// is recorded after the response has been sent, and the record of a Begin that was rejected at its deadline is removed by
// a later write, so a caller that retries at once can find its first attempt still running.
func (f *Forwarder) Begin(ctx context.Context, request core.DedupRequest) (core.DedupResult, error) {
	beginStart := f.config.Timer.Now()
	result, err := f.begin(ctx, request, firstPollInterval)
	if err != nil || result.State != core.DedupRunning {
		return result, err
	}
	return f.poll(ctx, request, beginStart)
}

// Finish implements core.Deduper.Finish. If the preferred writer fails, Finish records the outcome locally, which is safe
// because recording an outcome twice changes nothing.
func (f *Forwarder) Finish(ctx context.Context, request core.DedupRequest, outcome core.DedupOutcome) error {
	writer, found := f.writers.preferred(request)
	if !found {
		f.local.Add(1)
		return f.config.Local.Finish(ctx, request, outcome)
	}
	timeout := f.callTimeout(ctx)
	err := f.callWriter(ctx, writer, core.TopicDedupFinish, timeout,
		core.DedupFinish{Outcome: truncateLarge(outcome), Request: request, TimeoutMs: writerTimeoutMs(timeout)}, nil)
	if err == nil {
		return nil
	}
	return f.config.Local.Finish(ctx, request, outcome)
}

// Stats returns the counters.
func (f *Forwarder) Stats() ForwarderStats {
	return ForwarderStats{
		Fallbacks: f.fallbacks.Load(), Handled: f.handled.Load(), Local: f.local.Load(), Sent: f.sent.Load(),
	}
}

// begin begins an attempt at the preferred writer and, if that fails, locally as the next try. maxWait bounds how
// long a local Begin waits for an outcome that this process writes.
func (f *Forwarder) begin(ctx context.Context, request core.DedupRequest, maxWait time.Duration) (core.DedupResult, error) {
	writer, found := f.writers.preferred(request)
	if !found {
		f.local.Add(1)
		return f.config.Local.begin(ctx, request, false, maxWait)
	}
	timeout := f.callTimeout(ctx)
	var result core.DedupResult
	err := f.callWriter(ctx, writer, core.TopicDedupBegin, timeout,
		core.DedupBegin{Request: request, TimeoutMs: writerTimeoutMs(timeout)}, &result)
	if err == nil {
		return result, nil
	}
	request.Try++
	return f.config.Local.begin(ctx, request, errors.Is(err, core.ErrNoReply), maxWait)
}

// handleBegin handles a Begin from another process. As for a local caller, a Begin that times out returns an error and
// releases its record.
func (f *Forwarder) handleBegin(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var message core.DedupBegin
	if err := wire.Decode(payload, &message); err != nil {
		return nil, errors.Trace(err)
	}
	f.handled.Add(1)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(message.TimeoutMs)*time.Millisecond)
	defer cancel()
	result, err := f.config.Local.Begin(ctx, message.Request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return wire.Encode(result)
}

// handleFinish handles a Finish from another process.
func (f *Forwarder) handleFinish(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var message core.DedupFinish
	if err := wire.Decode(payload, &message); err != nil {
		return nil, errors.Trace(err)
	}
	f.handled.Add(1)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(message.TimeoutMs)*time.Millisecond)
	defer cancel()
	return nil, f.config.Local.Finish(ctx, message.Request, message.Outcome)
}

// callWriter sends a call to a writer, and counts it as a fallback if no usable response arrives. A writer that did not
// respond is avoided for a while.
func (f *Forwarder) callWriter(
	ctx context.Context, writer core.Host, topic string, timeout time.Duration, message, response any,
) error {
	f.sent.Add(1)
	err := f.request(ctx, writer.LinkAddress, topic, timeout, message, response)
	if err == nil {
		return nil
	}
	f.fallbacks.Add(1)
	if errors.Is(err, core.ErrNoReply) || errors.Is(err, core.ErrLinkDown) {
		if f.writers.avoid(writer) {
			event.DedupFallback.Write(f.config.Log, zap.String("writer", writer.Host), zap.String("topic", topic), zap.Error(err))
		}
	}
	return err
}

// request sends one call and decodes the response. It returns core.ErrNoReply if the writer may have recorded the call;
// after any other error the writer has not recorded it, or releases the record itself.
func (f *Forwarder) request(ctx context.Context, address, topic string, timeout time.Duration, message, response any) error {
	payload, err := wire.Encode(message)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := f.config.Links.Request(ctx, address, topic, payload)
	if err != nil || response == nil {
		return errors.Trace(err)
	}
	if err := wire.Decode(reply, response); err != nil {
		return errors.WithType(err, core.ErrNoReply)
	}
	return nil
}

// callTimeout returns the time limit of a call to a writer. It leaves at least half of the caller's remaining time for a
// local retry.
func (f *Forwarder) callTimeout(ctx context.Context) time.Duration {
	timeout := writerTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)/2)
	}
	return max(timeout, time.Millisecond)
}

// writerTimeoutMs returns the time limit in milliseconds that is sent to the writer. It leaves a third of timeout for the
// round trip, so that a writer whose store does not respond can report the error in time and release the record itself.
func writerTimeoutMs(timeout time.Duration) int64 {
	return max(timeout.Milliseconds()*2/3, 1)
}
