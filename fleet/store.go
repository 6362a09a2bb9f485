package fleet

import (
	"context"
	"net/http"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/config"
	"ebonyrouter.dev/core/store"
)

// Store is a running test store, which replaces the store of the platform.
type Store struct {
	Address string
	Process *Process
	t       T
}

// StartStore runs a test store until the test ends and waits until it responds.
func StartStore(t T, binaries Binaries) *Store {
	t.Helper()
	s := &Store{Address: FreeAddress(t), t: t}
	s.Process = binaries.Start(t, "teststore", "teststore", "-address", s.Address)
	Eventually(t, ReadyTimeout, func() error { return Get("http://"+s.Address+"/v1/list?prefix=x", nil) })
	return s
}

// Apply stores settings as the next revision and returns its number.
func (s *Store) Apply(settings core.Settings) int64 {
	s.t.Helper()
	client := store.NewClient(s.Address)
	defer client.Close()
	head, _, err := config.Head(context.Background(), client)
	if !errors.Is(err, core.ErrNotFound) {
		check(s.t, err)
	}
	head, err = config.Apply(context.Background(), client, config.Change{
		Author: "fleet", Base: head.Revision, Message: s.t.Name(), Settings: settings,
	})
	check(s.t, err)
	return head.Revision
}

// Calls returns the number of calls that the store has received, by kind and in total.
func (s *Store) Calls() (map[string]int64, int64) {
	s.t.Helper()
	var calls map[string]int64
	check(s.t, GetContext(context.Background(), "http://"+s.Address+"/control/calls", &calls))
	total := int64(0)
	for _, n := range calls {
		total += n
	}
	return calls, total
}

// SetFaults replaces the faults that the store injects. They are given as the JSON document of its control API.
func (s *Store) SetFaults(faults string) {
	s.t.Helper()
	_, err := send(context.Background(), http.MethodPut, "http://"+s.Address+"/control/faults", faults)
	check(s.t, err)
}
