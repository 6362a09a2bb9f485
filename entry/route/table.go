package route

import (
	"cmp"
	"slices"

	"ebonyrouter.dev/core"
)

// table holds the data that the Router derives from one revision of the settings.
type table struct {
	services map[string]*serviceTable
	snapshot *core.Snapshot
}

// serviceTable holds the objects and shifts of one service.
type serviceTable struct {
	// objects lists the sorted ownership keys of the targets by region.
	objects map[string][]string
	// owners holds the cached owners of these objects by region; the map is immutable.
	owners map[string]*ownerCache
	// shifts lists the shifts from the local region, ordered by the latency to their destinations.
	shifts []*shiftTable
}

// shiftTable is one shift with a cap from the local region.
type shiftTable struct {
	object   string
	oneWayMs int64
	// percent is the share of the requests that is moved even while local slots are free.
	percent int64
	to      string
}

func newTable(s *core.Snapshot, region string) *table {
	t := &table{services: map[string]*serviceTable{}, snapshot: s}
	for service, settings := range s.Settings.Services {
		st := &serviceTable{objects: map[string][]string{}, owners: map[string]*ownerCache{}}
		for name, target := range settings.Targets {
			targetRegion := s.RegionOf[target.Zone]
			st.objects[targetRegion] = append(st.objects[targetRegion], core.TargetObject(service, name))
		}
		for targetRegion, objects := range st.objects {
			slices.Sort(objects)
			st.owners[targetRegion] = &ownerCache{}
		}
		t.services[service] = st
	}
	oneWayMs := map[string]int64{}
	for _, l := range s.Settings.Links {
		if l.From == region {
			oneWayMs[l.To] = l.OneWayMs
		}
	}
	for _, shift := range s.Settings.Shifts {
		st := t.services[shift.Service]
		if st == nil || shift.From != region || shift.RequestsPerSecond < 1 {
			continue
		}
		st.shifts = append(st.shifts, &shiftTable{
			object:   core.ShiftObject(shift.Service, shift.From, shift.To),
			oneWayMs: oneWayMs[shift.To],
			percent:  shift.Percent,
			to:       shift.To,
		})
	}
	for _, st := range t.services {
		slices.SortStableFunc(st.shifts, func(a, b *shiftTable) int { return cmp.Compare(a.oneWayMs, b.oneWayMs) })
	}
	return t
}
