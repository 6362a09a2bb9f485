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
	body    []byte
	method  string
	timeout time.Duration
	unless  int64
	url     string
	version int64
	write   bool
}

// lost returns the error of a call without a complete answer; connected means that the call may have been sent.
func (c clientCall) lost(cause error, connected bool) error {
	kind := core.ErrUnavailable
	if c.write && connected {
		kind = core.ErrUncertain
	}
	return errors.WithType(errors.Annotatef(cause, "%s: %s %s", kind, c.method, c.url), kind)
}

// refused returns the error that the status of a complete answer stands for.
func (c clientCall) refused(answer *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxErrorBytes))
	if err != nil {
		text = []byte(answer.Status)
	}
	reason := strings.TrimSpace(string(text))
	var kind error
	switch answer.StatusCode {
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
		return c.lost(errors.Errorf("status %d: %s", answer.StatusCode, reason), true)
	}
	return errors.Annotatef(kind, "%s %s", c.method, c.url)
}
