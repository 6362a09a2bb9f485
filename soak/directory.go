package main

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// lookupTimeout and lookupAttempts bound the calls of one lookup.
	lookupTimeout  = time.Second
	lookupAttempts = 3
)

// directory looks up the hosts that callers of one availability zone should use, and keeps a response for its TTL.
type directory struct {
	all    []*host
	zone   string
	mutex  sync.Mutex
	named  []*host
	expiry time.Time
}

// hosts returns the hosts to use. If no lookup succeeds, it returns those of the last response.
func (d *directory) hosts(ctx context.Context) []*host {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if time.Now().Before(d.expiry) {
		return d.named
	}
	asked := 0
	for _, nearest := range []bool{true, false} {
		for _, h := range d.all {
			if (h.region == zones[d.zone]) != nearest || asked == lookupAttempts {
				continue
			}
			asked++
			if named, ttl, ok := d.lookup(ctx, h); ok {
				d.named, d.expiry = named, time.Now().Add(ttl)
				return d.named
			}
		}
	}
	return d.named
}

func (d *directory) lookup(ctx context.Context, h *host) (named []*host, ttl time.Duration, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	url := "http://" + h.directory + "/api/resolve?name=" + hostName + "&region=" + zones[d.zone] + "&zone=" + d.zone
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, 0, false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, 0, false
	}
	defer func() { _ = response.Body.Close() }()
	var body struct {
		Addresses []string `json:"addresses"`
		TTL       string   `json:"ttl"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&body) != nil {
		return nil, 0, false
	}
	for _, candidate := range d.all {
		if slices.Contains(body.Addresses, candidate.front) {
			named = append(named, candidate)
		}
	}
	ttl, err = time.ParseDuration(body.TTL)
	return named, ttl, err == nil && len(named) > 0
}
