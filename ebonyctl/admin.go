package main

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"
)

const (
	adminTimeout  = 5 * time.Second
	maxAdminBytes = 16 << 20
)

// getAdmin sends a GET request to the administration API and returns the response body. The error is of type
// errAdminUnavailable if there is no complete response, and of type errAdminRefused if the status is not 200.
func (a *app) getAdmin(ctx context.Context, path string, query url.Values) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: a.admin, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, usageError("--admin %q: %v", a.admin, err)
	}
	if a.token != "" {
		request.Header.Set("Authorization", "Bearer "+a.token)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.WithType(errors.Trace(err), errAdminUnavailable)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAdminBytes))
	if err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "GET %s", u.String()), errAdminUnavailable)
	}
	if response.StatusCode != http.StatusOK {
		text := strings.TrimSpace(string(content))
		return nil, errors.WithType(errors.Errorf("GET %s: %s: %s", u.String(), response.Status, text), errAdminRefused)
	}
	return content, nil
}
