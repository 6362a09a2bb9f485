package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// Limits of the client's connections and responses.
const (
	defaultCallTimeout = 2 * time.Second
	defaultDialTimeout = time.Second
	// watchTimeoutMargin is how much longer than WatchLimit the client waits for the response to a watch.
	watchTimeoutMargin = 5 * time.Second
	maxResponseBytes   = 256 << 20
	maxErrorBytes      = 1 << 10
	maxIdleConnections = 32
	idleTimeout        = 30 * time.Second
)

// Client is an HTTP client of the platform's object store.
type Client struct {
	address      string
	callTimeout  time.Duration
	client       *http.Client
	dialer       *net.Dialer
	watchTimeout time.Duration
}

var (
	_ core.ChangedGetter = (*Client)(nil)
	_ core.Store         = (*Client)(nil)
)

// NewClient returns a client of the store at address, which is an IP address with port.
func NewClient(address string, options ...ClientOption) *Client {
	dialer := &net.Dialer{Timeout: defaultDialTimeout}
	c := &Client{
		dialer:      dialer,
		address:     address,
		callTimeout: defaultCallTimeout,
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				DisableCompression:  true,
				IdleConnTimeout:     idleTimeout,
				MaxIdleConns:        maxIdleConnections,
				MaxIdleConnsPerHost: maxIdleConnections,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		watchTimeout: WatchLimit + watchTimeoutMargin,
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.client.CloseIdleConnections()
}

// Delete implements core.Store.Delete.
func (c *Client) Delete(ctx context.Context, key string, version int64) error {
	var o core.Object
	return c.call(ctx, clientCall{method: http.MethodDelete, url: c.objectURL(key), expectedVersion: version, write: true}, &o)
}

// Get implements core.Store.Get.
func (c *Client) Get(ctx context.Context, key string) (core.Object, error) {
	var o core.Object
	err := c.call(ctx, clientCall{method: http.MethodGet, url: c.objectURL(key)}, &o)
	return o, err
}

// GetChanged implements core.ChangedGetter.GetChanged.
func (c *Client) GetChanged(ctx context.Context, key string, version int64) (core.Object, error) {
	var o core.Object
	err := c.call(ctx, clientCall{method: http.MethodGet, unlessVersion: version, url: c.objectURL(key)}, &o)
	return o, err
}

// List implements core.Store.List.
func (c *Client) List(ctx context.Context, prefix string) ([]core.Object, error) {
	var response ListResponse
	query := url.Values{"prefix": {prefix}}
	err := c.call(ctx, clientCall{method: http.MethodGet, url: c.url(PathList, query)}, &response)
	return response.Objects, err
}

// Put implements core.Store.Put.
func (c *Client) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	if len(value) > core.MaxObjectBytes {
		return 0, errors.Annotatef(core.ErrTooLarge, "put %s with %d bytes", key, len(value))
	}
	body, err := json.Marshal(core.Object{Key: key, Value: value})
	if err != nil {
		return 0, errors.Annotatef(err, "encode %s", key)
	}
	var o core.Object
	call := clientCall{method: http.MethodPut, url: c.objectURL(key), body: body, expectedVersion: version, write: true}
	if err := c.call(ctx, call, &o); err != nil {
		return 0, err
	}
	return o.Version, nil
}

// Watch implements core.Store.Watch.
func (c *Client) Watch(ctx context.Context, prefix string, after int64) ([]core.Object, int64, error) {
	var response ListResponse
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatInt(after, 10)}}
	call := clientCall{method: http.MethodGet, url: c.url(PathWatch, query), timeout: c.watchTimeout}
	if err := c.call(ctx, call, &response); err != nil {
		return nil, after, err
	}
	return response.Objects, response.Version, nil
}

// call makes one HTTP call, decodes the response into result and maps every failure to an error of core.
func (c *Client) call(ctx context.Context, call clientCall, result any) error {
	timeout := c.callTimeout
	if call.timeout > 0 {
		timeout = call.timeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// A write cannot have reached the store if no connection was established; its error is core.ErrUnavailable then.
	var connected, reused atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connected.Store(true)
			reused.Store(info.Reused)
		},
	})
	defer func() { c.dropIdleAfterTimeout(ctx, call, reused.Load()) }()
	request, err := http.NewRequestWithContext(ctx, call.method, call.url, bytes.NewReader(call.body))
	if err != nil {
		return errors.Annotatef(err, "%s %s", call.method, call.url)
	}
	if call.write {
		request.Header.Set(HeaderIfVersion, strconv.FormatInt(call.expectedVersion, 10))
	}
	if call.unlessVersion > 0 {
		request.Header.Set(HeaderUnlessVersion, strconv.FormatInt(call.unlessVersion, 10))
	}
	response, err := c.client.Do(request)
	if err != nil {
		return call.incompleteError(err, connected.Load())
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return call.statusError(response)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return call.incompleteError(err, true)
	}
	if err := json.Unmarshal(content, result); err != nil {
		return call.incompleteError(err, true)
	}
	return nil
}

func (c *Client) objectURL(key string) string {
	return c.url(PathObjects+key, nil)
}

// dropIdleAfterTimeout closes the idle connections if a call timed out on a reused connection. If that connection is
// unresponsive, other idle connections probably are too, and each of them would make one more call time out. A watch waits
// for changes, so its timeout does not indicate an unresponsive connection.
func (c *Client) dropIdleAfterTimeout(ctx context.Context, call clientCall, reused bool) {
	if reused && call.timeout == 0 && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.client.CloseIdleConnections()
	}
}

func (c *Client) url(path string, query url.Values) string {
	u := url.URL{Scheme: "http", Host: c.address, Path: path, RawQuery: query.Encode()}
	return u.String()
}
