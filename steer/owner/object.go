package owner

import (
	"slices"
	"strings"

	"ebonyrouter.dev/core"
)

// groupShift is the group of all shifts; they are balanced together.
const groupShift = "shift"

// Object is one limited object of a region; Group names the objects that are balanced together.
type Object struct {
	Group string
	Name  string
	Zone  string
}

// Objects returns the limited objects of a region in the order of their names, or nil without settings.
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

// groupOf returns the group of an object by its name, which is known for objects that left the settings as well.
func groupOf(name string) string {
	kind, rest, _ := strings.Cut(name, "/")
	if kind != "target" {
		return kind
	}
	service, _, _ := strings.Cut(rest, "/")
	return "target/" + service
}
