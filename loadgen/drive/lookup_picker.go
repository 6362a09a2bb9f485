package drive

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// maxLookupBytes limits the size of a lookup response.
const maxLookupBytes = 1 << 20

// lookupPicker looks up the entry hosts of the service and caches the response while it is valid. If no host responds to a
// lookup, it uses the expired response, because every entry host serves every service.
type lookupPicker struct {
	client       *http.Client
	config       Config
	hosts        []string
	mutex        sync.Mutex
	refreshMutex sync.Mutex
	validUntil   time.Time
}

// query sends a lookup to one host and returns its response.
func (l *lookupPicker) query(address string) (core.LookupResponse, error) {
	query := url.Values{"client": {l.config.Client}, "service": {l.config.Service}}
	var result core.LookupResponse
	response, err := l.client.Get("http://" + address + "/v1/lookup?" + query.Encode()) //nolint:noctx // The client has a timeout.
	if err != nil {
		return result, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return result, errors.Errorf("lookup at %s: status %d", address, response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxLookupBytes)).Decode(&result)
	if err != nil {
		return result, errors.Annotatef(err, "lookup at %s", address)
	}
	if len(result.Hosts) == 0 {
		return result, errors.Errorf("lookup at %s returned no host", address)
	}
	for _, host := range result.Hosts {
		err = CheckLoopback(host.Address)
		if err != nil {
			return result, errors.Annotatef(err, "lookup at %s", address)
		}
	}
	return result, nil
}

// cached returns the hosts of the last lookup and whether it is still valid.
func (l *lookupPicker) cached() ([]string, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.hosts, time.Now().Before(l.validUntil)
}

func (l *lookupPicker) pick(int) ([]string, error) {
	hosts, valid := l.cached()
	if valid {
		return hosts, nil
	}
	l.refreshMutex.Lock()
	defer l.refreshMutex.Unlock()
	hosts, valid = l.cached()
	if valid {
		return hosts, nil
	}
	err := l.refresh()
	if err != nil && len(hosts) == 0 {
		return nil, err
	}
	hosts, _ = l.cached()
	return hosts, nil
}

// refresh sends the lookup to the hosts of the last response and then to the configured ones, until one responds.
func (l *lookupPicker) refresh() error {
	knownHosts, _ := l.cached()
	var lastErr error
	for _, address := range append(append([]string{}, knownHosts...), l.config.Entries...) {
		result, err := l.query(address)
		if err != nil {
			lastErr = err
			continue
		}
		hosts := []string{}
		for _, host := range result.Hosts {
			hosts = append(hosts, host.Address)
		}
		l.mutex.Lock()
		l.hosts = hosts
		l.validUntil = time.Now().Add(time.Duration(result.ValidMs) * time.Millisecond)
		l.mutex.Unlock()
		return nil
	}
	return lastErr
}
