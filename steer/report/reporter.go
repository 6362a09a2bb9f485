package report

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/core/wire"
)

const (
	// linkRetryInterval is the time between two attempts to query a host while the link to it is being opened.
	linkRetryInterval  = 50 * time.Millisecond
	maxParallelQueries = 32
	queryTimeout       = 2 * time.Second
)

// Reporter stores the latest status of the local entry process and queries the steer processes of all hosts.
type Reporter struct {
	config          Config
	entry           core.EntryStatus
	entryReceivedAt core.Instant
	mu              sync.Mutex
}

// Config holds the dependencies of a Reporter. StoreError returns the error text of the last store call, or an empty string
// if that call succeeded.
type Config struct {
	Hosts      core.HostView
	Links      core.Links
	Self       string
	Settings   core.SettingsSource
	StoreError func() string
	Timer      core.Timer
	Zone       string
}

// New returns a Reporter and registers its request handler with the links.
func New(config Config) *Reporter {
	r := &Reporter{config: config}
	config.Links.HandleRequest(core.TopicStatusGet, r.handleStatus)
	return r
}

// Entry returns the latest status of the local entry process and its age, or false if none was received yet.
func (r *Reporter) Entry() (core.EntryStatus, time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entryReceivedAt == 0 {
		return core.EntryStatus{}, 0, false
	}
	return r.entry, r.config.Timer.Now().Sub(r.entryReceivedAt), true
}

// Fleet returns the status of all known hosts. A host that does not respond within queryTimeout is listed as
// unanswered.
func (r *Reporter) Fleet(ctx context.Context) core.FleetStatus {
	hosts := r.config.Hosts.Hosts()
	status := core.FleetStatus{Hosts: make([]core.HostStatus, len(hosts))}
	if snapshot := r.config.Settings.Current(); snapshot != nil {
		status.Accepted = snapshot.Head
	}
	semaphore := make(chan struct{}, maxParallelQueries)
	var group sync.WaitGroup
	for i, h := range hosts {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			status.Hosts[i] = r.query(ctx, h)
		})
	}
	group.Wait()
	sort.Slice(status.Hosts, func(i, j int) bool { return status.Hosts[i].Host < status.Hosts[j].Host })
	status.LowestRevision = status.Lowest()
	return status
}

// Local returns the status of this host.
func (r *Reporter) Local() core.HostStatus {
	s := core.HostStatus{Answered: true, Host: r.config.Self, StoreError: r.config.StoreError(), Zone: r.config.Zone}
	s.SteerRevision = r.config.Settings.Current().Revision()
	entry, age, ok := r.Entry()
	if ok {
		s.Entry = entry
		s.EntryAgeMs = age.Milliseconds()
	}
	return s
}

// SetEntry stores the latest status of the local entry process.
func (r *Reporter) SetEntry(status core.EntryStatus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entry = status
	r.entryReceivedAt = r.config.Timer.Now()
}

func (r *Reporter) handleStatus(context.Context, string, []byte) ([]byte, error) {
	reply, err := wire.Encode(r.Local())
	return reply, errors.Trace(err)
}

func (r *Reporter) query(ctx context.Context, h core.Host) core.HostStatus {
	if h.Host == r.config.Self {
		return r.Local()
	}
	unanswered := core.HostStatus{Code: codes.PeerUnanswered, Host: h.Host, Zone: h.Zone}
	if !r.config.Links.Alive(h.SteerAddress) {
		// Without Disconnect the link would stay open and send heartbeats forever. A link that other components use stays open.
		r.config.Links.Connect(h.SteerAddress)
		defer r.config.Links.Disconnect(h.SteerAddress)
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply, err := r.request(ctx, h.SteerAddress)
	if err != nil {
		return unanswered
	}
	var s core.HostStatus
	if wire.Decode(reply, &s) != nil {
		return unanswered
	}
	return s
}

// request queries the steer process at address and retries while the link to it is still being opened.
func (r *Reporter) request(ctx context.Context, address string) ([]byte, error) {
	for {
		reply, err := r.config.Links.Request(ctx, address, core.TopicStatusGet, nil)
		if !errors.Is(err, core.ErrLinkDown) {
			return reply, errors.Trace(err)
		}
		select {
		case <-ctx.Done():
			return nil, errors.Trace(err)
		case <-r.config.Timer.After(linkRetryInterval):
		}
	}
}
