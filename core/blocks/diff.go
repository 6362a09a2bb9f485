package blocks

import (
	"fmt"

	"ebonyrouter.dev/core/config"
)

// Diff returns the differences between two maps: first those of the sites, then those of the blocks in the order of Compare.
func Diff(old, changed *Map) []config.Difference {
	differences := diffSites(old.Sites, changed.Sites)
	Walk(old.Blocks, changed.Blocks, func(before, after *Block) {
		var d config.Difference
		if before != nil {
			d.Path, d.Old = before.Prefix.String(), old.Sites[before.Site].Name
		}
		if after != nil {
			d.Path, d.New = after.Prefix.String(), changed.Sites[after.Site].Name
		}
		if d.Old != d.New {
			differences = append(differences, d)
		}
	})
	return differences
}

// Walk merges two lists that are sorted by Compare and calls visit once for each prefix, in order. The block of a list that
// lacks the prefix is nil.
func Walk(old, changed []Block, visit func(before, after *Block)) {
	for len(old) > 0 || len(changed) > 0 {
		var order int
		switch {
		case len(old) == 0:
			order = 1
		case len(changed) == 0:
			order = -1
		default:
			order = Compare(old[0], changed[0])
		}
		var before, after *Block
		if order <= 0 {
			before, old = &old[0], old[1:]
		}
		if order >= 0 {
			after, changed = &changed[0], changed[1:]
		}
		visit(before, after)
	}
}

func diffSites(old, changed []Site) []config.Difference {
	before, after := siteDescriptions(old), siteDescriptions(changed)
	var differences []config.Difference
	for _, s := range old {
		if after[s.Name] == "" {
			differences = append(differences, config.Difference{Path: "site " + s.Name, Old: before[s.Name]})
		}
	}
	for _, s := range changed {
		if before[s.Name] != after[s.Name] {
			differences = append(differences, config.Difference{Path: "site " + s.Name, Old: before[s.Name], New: after[s.Name]})
		}
	}
	return differences
}

// siteDescriptions returns the zone and weight of each site as text, by site name.
func siteDescriptions(sites []Site) map[string]string {
	descriptions := map[string]string{}
	for _, s := range sites {
		descriptions[s.Name] = fmt.Sprintf("zone %s weight %d", s.Zone, s.Weight)
	}
	return descriptions
}
