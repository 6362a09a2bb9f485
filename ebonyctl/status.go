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
	return a.command("status", "", "lists the hosts and their revisions", a.registerAdminFlags, func(ctx context.Context, _ []string) error {
		content, err := a.getAdmin(ctx, "/v1/status", nil)
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

// printHost prints the status of a host. A report of its entry process that is older than core.EntryStaleAfter is marked as
// stale, because the process may have ended.
func (a *app) printHost(h *core.HostStatus) {
	state := string(h.Entry.Registration.State)
	switch {
	case !h.Answered:
		a.printLine("%-20s %-16s no answer (%d %s)", h.Host, h.Zone, h.Code, codes.Name(h.Code))
		return
	case h.Stale():
		age := time.Duration(h.EntryAgeMs) * time.Millisecond
		a.printLine("%-20s %-16s stale     steer revision %d, entry silent for %v, its last report: %s, revision %d, %d owned",
			h.Host, h.Zone, h.SteerRevision, age.Round(time.Second), state, h.Entry.Revision, len(h.Entry.Owned))
	default:
		a.printLine("%-20s %-16s %-9s entry revision %d, steer revision %d, %d in flight, %d owned, report %d ms old",
			h.Host, h.Zone, state, h.Entry.Revision, h.SteerRevision, h.Entry.InFlight, len(h.Entry.Owned), h.EntryAgeMs)
	}
	if h.StoreError != "" {
		a.printLine("%-20s store: %s", h.Host, h.StoreError)
	}
}

// printStatus prints the status of each host, the number of hosts by revision in force, and the lowest revision in force.
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
		a.printLine("%d hosts with revision %d in force", hosts[revision], revision)
	}
	if stale+unanswered > 0 {
		a.printLine("not counted: %d stale entry processes, %d hosts without answer", stale, unanswered)
	}
	a.printLine("%d hosts, accepted revision %d, lowest revision in force %d", len(status.Hosts), status.Accepted.Revision, status.LowestRevision)
}
