package core

import "github.com/juju/errors"

// Snapshot is one immutable revision with the effective policies already resolved.
type Snapshot struct {
	Head     SettingsHead
	Settings Settings
	// Customers finds the customer of an API key; nil means that there are none.
	Customers *CustomerPlan
	// Policies maps service, then availability zone, to the effective policy.
	Policies map[string]map[string]EffectivePolicy
	// RegionOf maps each availability zone to its region.
	RegionOf map[string]string
	// Routes finds the route of a request; nil means that there are no routes.
	Routes *RoutePlan
	// ServiceOf maps each Host name to its service.
	ServiceOf map[string]string
}

// CheckZone returns an error if no settings are in force or if they do not assign the availability zone to the region.
func (s *Snapshot) CheckZone(region, zone string) error {
	if s == nil {
		return errors.New("no settings in force")
	}
	if known := s.RegionOf[zone]; known != region {
		return errors.Errorf("settings place availability zone %q in region %q, the process in %q", zone, known, region)
	}
	return nil
}

// Revision returns the number of the revision, or 0 if s is nil because no settings are in force.
func (s *Snapshot) Revision() int64 {
	if s == nil {
		return 0
	}
	return s.Head.Revision
}
