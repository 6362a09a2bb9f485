package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

const (
	// Token is the bearer token of all administration APIs.
	Token = "test-token"

	metricTimeout = time.Second
	getTimeout    = 5 * time.Second
)

// Metric reads the current value of a metric from the administration API at address. It fails after 1 s.
func Metric(address, name string) (float64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), metricTimeout)
	defer cancel()
	metrics, err := Metrics(ctx, address)
	if err != nil {
		return 0, err
	}
	n, ok := metrics[name]
	if !ok {
		return 0, errors.Errorf("process at %s has no metric %s", address, name)
	}
	return n, nil
}

// Get fetches a URL of an administration or control API and decodes the JSON response into the given value, or discards the
// response if the value is nil. It fails after 5 s and for any status other than 200.
func Get(url string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), getTimeout)
	defer cancel()
	return GetContext(ctx, url, into)
}

// GetContext is Get with a context instead of the limit of 5 s.
func GetContext(ctx context.Context, url string, into any) error {
	body, err := send(ctx, http.MethodGet, url, "")
	if err != nil || into == nil {
		return err
	}
	return errors.Trace(json.Unmarshal(body, into))
}

// Metrics reads all metrics from the administration API at address. The keys are the names including labels.
func Metrics(ctx context.Context, address string) (map[string]float64, error) {
	body, err := send(ctx, http.MethodGet, "http://"+address+"/metrics", "")
	if err != nil {
		return nil, err
	}
	values := map[string]float64{}
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		if n, err := strconv.ParseFloat(value, 64); err == nil {
			values[name] = n
		}
	}
	return values, errors.Trace(lines.Err())
}

// send sends a request with the bearer token and returns the body of the response. Any status other than 200 is an error,
// but PUT accepts every 2xx status.
func send(ctx context.Context, method, url, body string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set("Authorization", "Bearer "+Token)
	r, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = r.Body.Close() }()
	responseBody, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if r.StatusCode != http.StatusOK && (method != http.MethodPut || r.StatusCode/100 != 2) {
		return nil, errors.Errorf("%s: status %d: %s", url, r.StatusCode, bytes.TrimSpace(responseBody))
	}
	return responseBody, nil
}
