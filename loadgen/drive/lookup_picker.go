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

// answerBytes bounds a look-up answer, in bytes.
const answerBytes = 1 << 20

// lookup asks the system which entry hosts to use and keeps the answer while it is valid. A stale answer is
// used when no entry host answers, because every entry host serves every service.
type lookup struct {
	client  *http.Client
	config  Config
	hosts   []string
	mutex   sync.Mutex
	renewal sync.Mutex
	until   time.Time
}

func (l *lookup) ask(address string) (core.LookupAnswer, error) {
	query := url.Values{"client": {l.config.Client}, "service": {l.config.Service}}
	var answer core.LookupAnswer
	response, err := l.client.Get("http://" + address + "/v1/lookup?" + query.Encode()) //nolint:noctx // The client has a timeout.
	if err != nil {
		return answer, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer, errors.Errorf("look-up at %s: status %d", address, response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, answerBytes)).Decode(&answer)
	if err != nil {
		return answer, errors.Annotatef(err, "look-up at %s", address)
	}
	if len(answer.Hosts) == 0 {
		return answer, errors.Errorf("look-up at %s names no host", address)
	}
	for _, host := range answer.Hosts {
		err = CheckLoopback(host.Address)
		if err != nil {
			return answer, errors.Annotatef(err, "look-up at %s", address)
		}
	}
	return answer, nil
}

func (l *lookup) cached() ([]string, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.hosts, time.Now().Before(l.until)
}

func (l *lookup) pick(int) ([]string, error) {
	hosts, valid := l.cached()
	if valid {
		return hosts, nil
	}
	l.renewal.Lock()
	defer l.renewal.Unlock()
	hosts, valid = l.cached()
	if valid {
		return hosts, nil
	}
	err := l.renew()
	if err != nil && len(hosts) == 0 {
		return nil, err
	}
	hosts, _ = l.cached()
	return hosts, nil
}

// renew asks the known hosts and then the configured ones until one answers.
func (l *lookup) renew() error {
	known, _ := l.cached()
	var last error
	for _, address := range append(append([]string{}, known...), l.config.Entries...) {
		answer, err := l.ask(address)
		if err != nil {
			last = err
			continue
		}
		hosts := []string{}
		for _, host := range answer.Hosts {
			hosts = append(hosts, host.Address)
		}
		l.mutex.Lock()
		l.hosts = hosts
		l.until = time.Now().Add(time.Duration(answer.ValidMs) * time.Millisecond)
		l.mutex.Unlock()
		return nil
	}
	return last
}
