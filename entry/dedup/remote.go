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
	// remoteTimeout bounds the wait for the preferred writer; two regions are 110 ms apart and back.
	remoteTimeout = 500 * time.Millisecond
	// RemoteHandlers is the number of requests that one link must be able to have in progress: 3200 bookings a second
	// are 6400 requests a second, which take 10 to 40 ms each.
	RemoteHandlers = 512
)

var _ core.Deduper = (*Remote)(nil)

// Remote sends the calls of each shard to the shard's preferred writer, so that it groups the writes of all hosts.
//
// The preferred writer is only an optimisation. If its answer is missing, the call is repeated locally as the next
// try of the attempt. The store decides which try holds the record, and the answer to a lower try is never used.
type Remote struct {
	config    RemoteConfig
	fallbacks atomic.Int64
	handled   atomic.Int64
	local     atomic.Int64
	sent      atomic.Int64
	// waiting counts the Begins that poll a running record.
	waiting atomic.Int64
	writers *writers
}

// NewRemote returns a Remote and registers its handlers on the links.
func NewRemote(config RemoteConfig) *Remote {
	r := &Remote{config: config, writers: newWriters(config)}
	config.Links.HandleRequest(core.TopicDedupBegin, r.handleBegin)
	config.Links.HandleRequest(core.TopicDedupFinish, r.handleFinish)
	return r
}

// Begin implements core.Deduper.Begin. An outcome is recorded after the response has been sent, and the record of a
// Begin that was rejected at its deadline is removed by a later write, so a caller that repeats its request at once can
// find the first attempt still running. Begin waits then for the outcome.
func (r *Remote) Begin(ctx context.Context, request core.DedupRequest) (core.DedupResult, error) {
	asked := r.config.Timer.Now()
	result, err := r.begin(ctx, request, firstPoll)
	if err != nil || result.State != core.DedupRunning {
		return result, err
	}
	return r.poll(ctx, request, asked)
}

// Finish implements core.Deduper.Finish; recording an outcome twice changes nothing.
func (r *Remote) Finish(ctx context.Context, request core.DedupRequest, outcome core.DedupOutcome) error {
	writer, found := r.writers.find(request)
	if !found {
		r.local.Add(1)
		return r.config.Local.Finish(ctx, request, outcome)
	}
	timeout := r.timeout(ctx)
	err := r.send(ctx, writer, core.TopicDedupFinish, timeout,
		core.DedupFinish{Outcome: limited(outcome), Request: request, TimeoutMs: writerTimeMs(timeout)}, nil)
	if err == nil {
		return nil
	}
	return r.config.Local.Finish(ctx, request, outcome)
}

// Stats returns the counters.
func (r *Remote) Stats() RemoteStats {
	return RemoteStats{
		Fallbacks: r.fallbacks.Load(), Handled: r.handled.Load(), Local: r.local.Load(), Sent: r.sent.Load(),
	}
}

// begin begins an attempt at the preferred writer as one try, and locally as the next one if that fails; wait is how
// long this process waits for an outcome that it writes itself.
func (r *Remote) begin(ctx context.Context, request core.DedupRequest, wait time.Duration) (core.DedupResult, error) {
	writer, found := r.writers.find(request)
	if !found {
		r.local.Add(1)
		return r.config.Local.begin(ctx, request, false, wait)
	}
	timeout := r.timeout(ctx)
	var result core.DedupResult
	err := r.send(ctx, writer, core.TopicDedupBegin, timeout,
		core.DedupBegin{Request: request, TimeoutMs: writerTimeMs(timeout)}, &result)
	if err == nil {
		return result, nil
	}
	request.Try++
	return r.config.Local.begin(ctx, request, errors.Is(err, core.ErrNoReply), wait)
}

// handleBegin answers a Begin of another process. A Begin that ends by its timeout is answered with an error and
// releases its record, as for a local caller.
func (r *Remote) handleBegin(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var message core.DedupBegin
	if err := wire.Decode(payload, &message); err != nil {
		return nil, errors.Trace(err)
	}
	r.handled.Add(1)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(message.TimeoutMs)*time.Millisecond)
	defer cancel()
	result, err := r.config.Local.Begin(ctx, message.Request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return wire.Encode(result)
}

// handleFinish answers a Finish of another process.
func (r *Remote) handleFinish(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var message core.DedupFinish
	if err := wire.Decode(payload, &message); err != nil {
		return nil, errors.Trace(err)
	}
	r.handled.Add(1)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(message.TimeoutMs)*time.Millisecond)
	defer cancel()
	return nil, r.config.Local.Finish(ctx, message.Request, message.Outcome)
}

// send asks a writer and counts the call as a fallback if no usable answer arrives.
func (r *Remote) send(ctx context.Context, writer core.Host, topic string, timeout time.Duration, message, answer any) error {
	r.sent.Add(1)
	err := r.request(ctx, writer.LinkAddress, topic, timeout, message, answer)
	if err == nil {
		return nil
	}
	r.fallbacks.Add(1)
	if errors.Is(err, core.ErrNoReply) || errors.Is(err, core.ErrLinkDown) {
		if r.writers.avoid(writer) {
			event.DedupFallback.Write(r.config.Log, zap.String("writer", writer.Host), zap.String("topic", topic), zap.Error(err))
		}
	}
	return err
}

// request returns core.ErrNoReply if the writer may have recorded the call; after any other error it has not, or
// releases the record itself.
func (r *Remote) request(ctx context.Context, address, topic string, timeout time.Duration, message, answer any) error {
	payload, err := wire.Encode(message)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := r.config.Links.Request(ctx, address, topic, payload)
	if err != nil || answer == nil {
		return errors.Trace(err)
	}
	if err := wire.Decode(reply, answer); err != nil {
		return errors.WithType(err, core.ErrNoReply)
	}
	return nil
}

// timeout leaves at least half of the caller's time for a repetition.
func (r *Remote) timeout(ctx context.Context) time.Duration {
	timeout := remoteTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)/2)
	}
	return max(timeout, time.Millisecond)
}

// writerTimeMs leaves a third of the sender's time for the round trip to the writer, so that a writer whose store
// does not answer says so in time and releases the record itself.
func writerTimeMs(timeout time.Duration) int64 {
	return max(timeout.Milliseconds()*2/3, 1)
}
