package main

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

func (a *app) statusCommand() *ffcli.Command {
	return a.command("status", "", "lists the hosts and their revisions", a.registerAdmin, func(ctx context.Context, _ []string) error {
		content, err := a.askAdmin(ctx, "/v1/status", nil)
		if err != nil {
			return err
		}
		var status core.FleetStatus
		if err := json.Unmarshal(content, &status); err != nil {
			return errors.Annotate(err, "decode /v1/status")
		}
		a.printStatus(status)
		return nil
	})
}

// printHost prints what a host reported; the last report of an entry process that has ended is marked as stale.
func (a *app) printHost(h *core.HostStatus) {
	state := string(h.Entry.Registration.State)
	switch {
	case !h.Answered:
		a.print("%-20s %-16s no answer (%d %s)", h.Host, h.Zone, h.Code, codes.Name(h.Code))
		return
	case h.Stale():
		age := time.Duration(h.EntryAgeMs) * time.Millisecond
		a.print("%-20s %-16s stale     steer revision %d, entry silent for %v, its last report: %s, revision %d, %d owned",
			h.Host, h.Zone, h.SteerRevision, age.Round(time.Second), state, h.Entry.Revision, len(h.Entry.Owned))
	default:
		a.print("%-20s %-16s %-9s entry revision %d, steer revision %d, %d in flight, %d owned, report %d ms old",
			h.Host, h.Zone, state, h.Entry.Revision, h.SteerRevision, h.Entry.InFlight, len(h.Entry.Owned), h.EntryAgeMs)
	}
	if h.StoreError != "" {
		a.print("%-20s store: %s", h.Host, h.StoreError)
	}
}

// printStatus prints the hosts, how many of them have which revision in force, and the lowest one.
func (a *app) printStatus(status core.FleetStatus) {
	stale, unanswered := 0, 0
	for i := range status.Hosts {
		h := &status.Hosts[i]
		a.printHost(h)
		if h.Stale() {
			stale++
		}
		if !h.Answered {
			unanswered++
		}
	}
	hosts := status.Revisions()
	for _, revision := range slices.Sorted(maps.Keys(hosts)) {
		a.print("%d hosts with revision %d in force", hosts[revision], revision)
	}
	if stale+unanswered > 0 {
		a.print("not counted: %d stale entry processes, %d hosts without answer", stale, unanswered)
	}
	a.print("%d hosts, accepted revision %d, lowest revision in force %d", len(status.Hosts), status.Accepted.Revision, status.LowestRevision)
}
