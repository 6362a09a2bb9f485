package links

import "ebonyrouter.dev/core/wire"

// outgoing is a frame in a send ring; topic is what it is counted under, wait is set for requests.
type outgoing struct {
	frame wire.Frame
	topic string
	wait  *waiter
}
