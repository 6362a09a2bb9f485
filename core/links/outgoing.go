package links

import "ebonyrouter.dev/core/wire"

// outgoing is a frame in a send ring. Its traffic is counted under topic; request is nil for other frames than requests.
type outgoing struct {
	frame   wire.Frame
	topic   string
	request *pendingRequest
}
