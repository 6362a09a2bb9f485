package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/store"
	"ebonyrouter.dev/core/store/server"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// Guards against faults that are set over HTTP but do not affect the object API, against calls that are not counted, and
// against a run that does not return when its context ends.
func TestRunControl(t *testing.T) {
	logged, logs := observer.New(zapcore.InfoLevel)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- run(ctx, []string{"-address", "127.0.0.1:0"}, zap.New(logged)) }()
	for logs.FilterMessage(event.ProcessStarted.Message).Len() == 0 {
		select {
		case err := <-done:
			t.Fatal(err)
		default:
		}
	}
	address := logs.All()[0].ContextMap()["address"].(string)
	c := store.NewClient(address)
	defer c.Close()
	control := func(method, path, body string) string {
		request, err := http.NewRequest(method, "http://"+address+path, bytes.NewBufferString(body))
		assert.NilError(t, err)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		content, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		return string(content)
	}
	control(http.MethodPut, server.PathFaults, `{"outage":true}`)
	_, err := c.Put(t.Context(), "k", nil, 0)
	assert.ErrorIs(t, err, core.ErrUnavailable)
	control(http.MethodPut, server.PathFaults, `{"lost_answers":1}`)
	_, err = c.Put(t.Context(), "k", nil, 0)
	assert.ErrorIs(t, err, core.ErrUncertain)
	assert.Equal(t, control(http.MethodGet, server.PathCalls, ""), `{"put":2}`+"\n")
	stop()
	assert.NilError(t, <-done)
	http.DefaultClient.CloseIdleConnections()
}
