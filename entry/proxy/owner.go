package proxy

import (
	"net/http"

	"ebonyrouter.dev/core"
)

// responseOwner is the request to which a response belongs.
type responseOwner int

const (
	// ownResponse belongs to the request that was sent last on the connection.
	ownResponse responseOwner = iota
	// otherResponse belongs to another request.
	otherResponse
	// unknownResponse may belong to an earlier request, so that it proves nothing about the last one.
	unknownResponse
)

// ownerOf returns the request to which a response belongs. Its ID shows it. The first response of a connection needs none, because nothing
// was sent before its request; a later one without an ID may be written once more for an earlier request.
func (p *Proxy) ownerOf(req *request, c *conn, response *http.Response) responseOwner {
	id, want := response.Header.Get(core.HeaderRequestID), req.id
	if p.Dialect != nil && c.toTarget {
		id, want = p.Dialect.ReadResponse(response.StatusCode, response.Header).RequestID, req.callerRequestID
	}
	switch {
	case id != "" && id != want:
		return otherResponse
	case id != "" || !c.reused:
		return ownResponse
	case p.Dialect == nil && c.toTarget && core.Ran(response.Header.Get(core.HeaderRan)) != core.RanNo:
		// Without a dialect, targets need not send IDs. What they answer counts as run.
		return ownResponse
	default:
		return unknownResponse
	}
}
