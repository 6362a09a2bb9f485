package blocks

import (
	"fmt"

	"ebonyrouter.dev/core/config"
)

// Diff returns the sites and blocks that differ between two maps, sites first, blocks in their order.
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

// Walk calls visit with each prefix of two ordered lists; the block of a list without it is nil.
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
	before, after := siteTexts(old), siteTexts(changed)
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

func siteTexts(sites []Site) map[string]string {
	texts := map[string]string{}
	for _, s := range sites {
		texts[s.Name] = fmt.Sprintf("zone %s weight %d", s.Zone, s.Weight)
	}
	return texts
}
