package proxy

import (
	"net/http"
	"net/textproto"
	"strings"

	"ebonyrouter.dev/core"
)

// hopByHopHeaders lists, in canonical form, the headers that apply to one connection only (RFC 9110, section 7.6.1), and
// Expect, which this process answers itself because it reads the body before it chooses a target.
var hopByHopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// internalHeaders lists, in canonical form, the headers that only entry processes may set.
var internalHeaders = []string{
	core.HeaderAttempt, core.HeaderHomeRegions, core.HeaderHops, core.HeaderLoad, core.HeaderFromRegion, core.HeaderRequestID,
	core.HeaderToRegion, core.HeaderTried,
}

func removeHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

func removeInternal(h http.Header) {
	for _, name := range internalHeaders {
		delete(h, name)
	}
}
