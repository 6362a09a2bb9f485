package store

import (
	"net"
	"time"
)

// ClientOption changes a Client when it is created.
type ClientOption func(*Client)

// WithCallTimeout sets the time after which a call other than a watch counts as lost.
func WithCallTimeout(timeout time.Duration) ClientOption {
	return func(c *Client) { c.callTimeout = timeout }
}

// WithSource sets the local address that connections leave from; nil lets the system choose.
func WithSource(source net.Addr) ClientOption {
	return func(c *Client) { c.dialer.LocalAddr = source }
}

// WithWatchTimeout sets the time after which a watch counts as lost; it must exceed the store's wait limit.
func WithWatchTimeout(timeout time.Duration) ClientOption {
	return func(c *Client) { c.watchTimeout = timeout }
}
