package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/core/event"
)

// prefetchedBody is a response body whose beginning has already been read.
type prefetchedBody struct {
	io.Reader
	io.Closer
}

// prefetch reads up to PrefetchBytes of a response before its head is sent to the caller. If the response is truncated
// within these bytes, another attempt or an error response can replace it. A response for which there is no memory is not prefetched.
func (p *Proxy) prefetch(req *request, result *attemptResult) {
	if p.PrefetchBytes <= 0 || result.failure != nil || result.shed {
		return
	}
	size := p.PrefetchBytes
	if length := result.response.ContentLength; length >= 0 {
		size = min(size, length)
	}
	if !p.reserve(req, size) {
		// Without memory the response is streamed; if it ends early, the caller's connection does too.
		return
	}
	body := result.response.Body
	var prefix bytes.Buffer
	_, err := io.CopyN(&prefix, body, p.PrefetchBytes)
	switch {
	case err == nil:
		result.response.Body = prefetchedBody{io.MultiReader(&prefix, body), body}
	case errors.Is(err, io.EOF):
		result.response.Body = prefetchedBody{&prefix, body}
		if len(result.response.Trailer) == 0 && req.incoming.Method != http.MethodHead {
			result.response.ContentLength = int64(prefix.Len())
		}
	default:
		event.RequestTruncated.Write(p.Log, zap.String("request_id", req.id), zap.String("service", req.service), zap.Error(err))
		result.failure = classifyFailure(req, result, err, req.incoming.Context().Err() != nil)
		result.finish(false, true)
		if result.failure.code == codes.UpstreamBroken {
			result.failure = mayHaveRun(codes.UpstreamTruncated, http.StatusBadGateway, "the response ended early: "+err.Error())
		}
		result.response = nil
		result.ran = core.RanUnknown
	}
}
