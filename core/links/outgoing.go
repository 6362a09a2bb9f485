package links

import "ebonyrouter.dev/core/wire"

// outgoing is a frame in a send ring. Its traffic is counted under topic; request is nil for other frames than requests.
type outgoing struct {
	// charged is the memory that is reserved for the frame until it is written.
	charged int64
	frame   wire.Frame
	topic   string
	request *pendingRequest
}

// chargeOutgoing reserves the memory of a frame that is about to be queued, and reports whether the budget permits it.
func (c *conn) chargeOutgoing(o *outgoing) bool {
	size := int64(len(o.frame.Body))
	if size <= wire.SmallBodyBytes {
		return true
	}
	if !c.account.Reserve(size) {
		return false
	}
	o.charged = size
	return true
}
