package fleet

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/store"
)

// AwaitOwners waits until each host owns an equal share of the targets of each service in its region and reports these
// targets as usable. The test ends if that takes too long or a process exits.
func (d *Deployment) AwaitOwners() {
	d.T.Helper()
	Eventually(d.T, ReadyTimeout, func() error {
		if err := d.checkProcesses(); err != nil {
			return err
		}
		status, err := d.Status(d.Hosts[0])
		if err != nil {
			return err
		}
		if len(status.Hosts) != len(d.Hosts) {
			var listed []string
			for _, h := range status.Hosts {
				listed = append(listed, h.Host)
			}
			return errors.Errorf("%d of %d hosts listed: %v", len(status.Hosts), len(d.Hosts), listed)
		}
		for _, service := range d.Spec.Services {
			for _, region := range d.Spec.Regions {
				if err := d.checkOwners(status, service.Name, region); err != nil {
					return err
				}
			}
		}
		return nil
	})
}

// OwnedInStore returns the number of objects that a host owns according to the ownership document in the store.
func (d *Deployment) OwnedInStore(h *Host) int {
	d.T.Helper()
	n := 0
	for _, owner := range d.Ownership(h.Region).Objects {
		if owner.Host == h.Name {
			n++
		}
	}
	return n
}

// Owner returns the host that owns a target according to the ownership document of a region in the store. Targets are counted
// from 0.
func (d *Deployment) Owner(region, service string, target int) *Host {
	d.T.Helper()
	name := d.Ownership(region).Objects[core.TargetObject(service, targetName(service, target))].Host
	for _, h := range d.Hosts {
		if h.Name == name {
			return h
		}
	}
	d.T.Fatalf("target %d of service %s has no owner", target, service)
	return nil
}

// Ownership reads the ownership document of a region from the store.
func (d *Deployment) Ownership(region string) core.Ownership {
	d.T.Helper()
	client := store.NewClient(d.Store.Address)
	defer client.Close()
	object, err := client.Get(context.Background(), core.KeyOwnershipPrefix+region)
	check(d.T, err)
	var document core.Ownership
	check(d.T, json.Unmarshal(object.Value, &document))
	return document
}

// RegionTargets returns the set of the addresses of the targets of a service in a region, according to Settings.
func (d *Deployment) RegionTargets(service, region string) map[string]bool {
	addresses := map[string]bool{}
	for _, target := range d.Settings.Services[service].Targets {
		if strings.HasPrefix(target.Zone, region+"-") {
			addresses[target.Address] = true
		}
	}
	return addresses
}

// checkOwners returns an error unless the hosts of a region own all targets of a service and each host owns its equal share,
// rounded down, or one target more.
func (d *Deployment) checkOwners(status core.FleetStatus, service, region string) error {
	targets := len(d.RegionTargets(service, region))
	share := targets / (len(d.Hosts) / len(d.Spec.Regions))
	local := map[string]bool{}
	for _, h := range d.regionHosts(region) {
		local[h.Name] = true
	}
	unowned := targets
	for _, h := range status.Hosts {
		if !local[h.Host] {
			continue
		}
		n := ownedTargets(h, service)
		if n < share || n > share+1 {
			return errors.Errorf("host %s owns %d targets of service %s, want %d", h.Host, n, service, share)
		}
		unowned -= n
	}
	if unowned != 0 {
		return errors.Errorf("%d targets of service %s in region %s have no owner", unowned, service, region)
	}
	return nil
}

// checkProcesses returns an error with the last output of a host process if one has exited.
func (d *Deployment) checkProcesses() error {
	for _, h := range d.Hosts {
		for _, p := range []*Process{h.Steer, h.Entry} {
			if p != nil && p.exited() {
				return errors.Errorf("%s exited: %s", p.name, p.lastOutput(d.failureLogBytes))
			}
		}
	}
	return nil
}

// ownedTargets returns the number of targets of a service that a host owns and may use.
func ownedTargets(h core.HostStatus, service string) int {
	n := 0
	for _, object := range h.Entry.Owned {
		if strings.HasPrefix(object, "target/"+service+"/") {
			n++
		}
	}
	return n
}
