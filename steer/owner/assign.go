package owner

import (
	"cmp"
	"maps"
	"slices"

	"ebonyrouter.dev/core"
)

// Assign gives every object without an owner to the member that owns the fewest of its group, on a tie to one in the
// object's zone, and reports whether it changed the document. Objects with an owner stay where they are.
func Assign(document *core.Ownership, objects []Object, zones map[string]string) bool {
	changed := addObjects(document, objects)
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
				cmp.Compare(t.group(a, name), t.group(b, name)),
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

// addObjects adds the objects that are new in the settings and removes released ones that left them. A revoked object
// that left the settings stays, because only an owner that has waited can release it.
func addObjects(document *core.Ownership, objects []Object) bool {
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

// compareZone puts a member in the object's zone before one in another zone.
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

// eligible returns the members that may get objects, in the order of their names.
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
