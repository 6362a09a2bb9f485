package owner

import (
	"slices"
	"strings"

	"ebonyrouter.dev/core"
)

// groupShift is the group of all shifts, which are balanced together.
const groupShift = "shift"

// Object is one limited object of a region. Objects of the same Group are balanced together.
type Object struct {
	Group string
	Name  string
	Zone  string
}

// Objects returns the limited objects of a region in name order, or nil without settings.
func Objects(snapshot *core.Snapshot, region string) []Object {
	if snapshot == nil {
		return nil
	}
	var objects []Object
	for service, s := range snapshot.Settings.Services {
		for target, t := range s.Targets {
			if snapshot.RegionOf[t.Zone] == region {
				name := core.TargetObject(service, target)
				objects = append(objects, Object{Group: groupOf(name), Name: name, Zone: t.Zone})
			}
		}
	}
	for _, s := range snapshot.Settings.Shifts {
		if s.From == region {
			objects = append(objects, Object{Group: groupShift, Name: core.ShiftObject(s.Service, s.From, s.To)})
		}
	}
	slices.SortFunc(objects, func(a, b Object) int { return strings.Compare(a.Name, b.Name) })
	return slices.CompactFunc(objects, func(a, b Object) bool { return a.Name == b.Name })
}

// groupOf derives the group of an object from its name, so that it is known for objects that are no longer in the
// settings.
func groupOf(name string) string {
	kind, rest, _ := strings.Cut(name, "/")
	if kind != "target" {
		return kind
	}
	service, _, _ := strings.Cut(rest, "/")
	return "target/" + service
}
