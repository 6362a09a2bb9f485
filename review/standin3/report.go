package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"
)

// entry returns the entry of the target in the store, with the number of a status report.
func (t *target) entry(sequence int) map[string]any {
	return map[string]any{
		"address": t.address, "born": t.born,
		"info":   map[string]any{"service": t.service, "version": "v1", "zone": t.zone, "slots": t.slots},
		"status": map[string]any{"state": "ready", "seq": sequence, "coldLeft": "0ms"},
	}
}

// report writes status reports of the target to the store until stop is closed.
func (t *target) report(store string, stop <-chan struct{}) {
	client := http.Client{Timeout: time.Second}
	for sequence := 2; ; sequence++ {
		select {
		case <-stop:
			return
		case <-time.After(registrationHeartbeat):
		}
		body, err := json.Marshal(map[string]any{"metadata": map[string]any{"name": t.id}, "spec": t.entry(sequence)})
		if err != nil {
			return
		}
		request, err := http.NewRequest(http.MethodPut, "http://"+store+"/api/objects/servers/"+t.id, bytes.NewReader(body))
		if err != nil {
			return
		}
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}
}
