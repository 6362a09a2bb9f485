package store

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// clientCall describes one HTTP call to the store.
type clientCall struct {
	body   []byte
	method string
	// timeout is the timeout of a watch, or 0 for the call timeout of the client.
	timeout time.Duration
	// unlessVersion makes a read conditional if it is not 0: an object with this version is not transferred.
	unlessVersion int64
	url           string
	// expectedVersion is the version that a write expects, or 0 if the key must not exist.
	expectedVersion int64
	write           bool
}

// incompleteError returns the error of a call without a complete response. The result of a write is unknown
// (core.ErrUncertain) if connected is true, because the store may have received it.
func (c clientCall) incompleteError(cause error, connected bool) error {
	kind := core.ErrUnavailable
	if c.write && connected {
		kind = core.ErrUncertain
	}
	return errors.WithType(errors.Annotatef(cause, "%s: %s %s", kind, c.method, c.url), kind)
}

// statusError returns the error for the status of a complete response.
func (c clientCall) statusError(response *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		text = []byte(response.Status)
	}
	reason := strings.TrimSpace(string(text))
	var kind error
	switch response.StatusCode {
	case http.StatusNotModified:
		kind = core.ErrUnchanged
	case http.StatusNotFound:
		kind = core.ErrNotFound
	case http.StatusConflict:
		kind = core.ErrConflict
	case http.StatusRequestEntityTooLarge:
		kind = core.ErrTooLarge
	case http.StatusServiceUnavailable:
		kind = core.ErrUnavailable
	case http.StatusBadRequest, http.StatusMethodNotAllowed:
		return errors.Errorf("%s %s: invalid call: %s", c.method, c.url, reason)
	default:
		return c.incompleteError(errors.Errorf("status %d: %s", response.StatusCode, reason), true)
	}
	return errors.Annotatef(kind, "%s %s", c.method, c.url)
}
