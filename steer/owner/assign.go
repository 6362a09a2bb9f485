package owner

import (
	"cmp"
	"maps"
	"slices"

	"ebonyrouter.dev/core"
)

// Assign gives each object without an owner to the member that owns the fewest objects of its group, preferring members
// in the object's zone on a tie. Other objects keep their owners. objects are the objects of the settings, and zones
// maps hosts to their availability zones. It reports whether it changed the document.
func Assign(document *core.Ownership, objects []Object, zones map[string]string) bool {
	changed := syncObjects(document, objects)
	candidates := eligible(*document)
	if len(candidates) == 0 {
		return changed
	}
	t := newTally(*document)
	zoneOf := objectZones(objects)
	for _, name := range slices.Sorted(maps.Keys(document.Objects)) {
		o := document.Objects[name]
		if o.Host != "" {
			continue
		}
		best := slices.MinFunc(candidates, func(a, b string) int {
			return cmp.Or(
				cmp.Compare(t.inGroup(a, name), t.inGroup(b, name)),
				compareZone(zones[a], zones[b], zoneOf[name]),
				cmp.Compare(t.total[a], t.total[b]),
				cmp.Compare(a, b),
			)
		})
		t.add(best, name)
		document.Objects[name] = core.ObjectOwner{
			Host:        best,
			Incarnation: document.Members[best].Incarnation,
			Revoked:     o.Revoked,
			Since:       document.Epoch,
		}
		changed = true
	}
	return changed
}

// syncObjects adds the new objects of the settings and removes released objects that are no longer in the settings. A
// revoked object remains, because only an owner that has waited can release it.
func syncObjects(document *core.Ownership, objects []Object) bool {
	if objects == nil {
		return false
	}
	changed := false
	wanted := map[string]bool{}
	for _, o := range objects {
		wanted[o.Name] = true
		if _, ok := document.Objects[o.Name]; !ok {
			document.Objects[o.Name] = core.ObjectOwner{Since: document.Epoch}
			changed = true
		}
	}
	for name, o := range document.Objects {
		if !wanted[name] && o.Host == "" && !o.Revoked {
			delete(document.Objects, name)
			changed = true
		}
	}
	return changed
}

// compareZone orders a member in the object's zone before one in another zone.
func compareZone(a, b, zone string) int {
	switch {
	case a == b || zone == "":
		return 0
	case a == zone:
		return -1
	case b == zone:
		return 1
	default:
		return 0
	}
}

// eligible returns the members that may get objects, in name order.
func eligible(document core.Ownership) []string {
	var names []string
	for name, m := range document.Members {
		if !m.Leaving {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// objectZones maps the objects of the settings to their zones.
func objectZones(objects []Object) map[string]string {
	zones := make(map[string]string, len(objects))
	for _, o := range objects {
		zones[o.Name] = o.Zone
	}
	return zones
}
