package stand

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// get sends a GET request with a timeout and returns the status and the body.
func get(t *testing.T, client *http.Client, url string, limit time.Duration) (int, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	assert.NilError(t, err)
	request.Header.Set(HeaderToken, "t1")
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// TestOrders guards against a target that does not misbehave as ordered, so that fault tests would pass without a fault.
func TestOrders(t *testing.T) {
	process, err := Start(Config{BodyBytes: 10, Ports: []int{0}, ServiceTime: time.Millisecond, Slots: 1})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, process.Close()) }()
	control := httptest.NewServer(process.ControlHandler())
	defer control.Close()
	url := "http://" + process.Targets()[0].Address()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for name, test := range map[string]struct {
		body, order, path string
		fails             bool
		status            int
	}{
		"healthy":      {order: "{}", status: 200, body: "t1\nt1\nt1\nt"},
		"drain":        {order: `{"drain":true}`, path: "/health", status: 503, body: `{"state":"draining"}` + "\n"},
		"fail":         {order: `{"fail":true}`, status: 500, body: "ordered to fail\n"},
		"false health": {order: `{"fail":true,"false_health":"ok"}`, path: "/health", status: 200, body: `{"state":"ok"}` + "\n"},
		"false load":   {order: `{"false_free_slots":0}`, path: "/load", status: 200, body: `{"connections":1,"free_slots":0,"in_use":1,"slots":1}` + "\n"},
		"hang":         {order: `{"hang":true}`, fails: true},
		"shed":         {order: `{"shed":true}`, status: 503, body: "shedding load\n"},
		"silent":       {order: `{"silent":true}`, fails: true},
		"truncate":     {order: `{"truncate":true}`, fails: true},
		"cold":         {order: `{"cold_requests":1,"cold_ms":500}`, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := get(t, client, url, time.Second)
			assert.NilError(t, err)
			response, err := http.Post(control.URL+"/order/all", "application/json", strings.NewReader(test.order))
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, 200)
			status, body, err := get(t, client, url+test.path, 200*time.Millisecond)
			assert.Equal(t, err != nil, test.fails, "%v", err)
			if !test.fails {
				assert.Equal(t, status, test.status)
				assert.Equal(t, body, test.body)
			}
			process.Targets()[0].reset()
		})
	}
}
