package store

import (
	"net"
	"time"
)

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithCallTimeout sets the timeout of all calls except watches.
func WithCallTimeout(timeout time.Duration) ClientOption {
	return func(c *Client) { c.callTimeout = timeout }
}

// WithSource sets the local address of connections; nil lets the system choose.
func WithSource(source net.Addr) ClientOption {
	return func(c *Client) { c.dialer.LocalAddr = source }
}

// WithWatchTimeout sets the timeout of watches; it must exceed WatchLimit.
func WithWatchTimeout(timeout time.Duration) ClientOption {
	return func(c *Client) { c.watchTimeout = timeout }
}
