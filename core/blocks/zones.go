package blocks

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/config"
)

// blocksPath is the path of the map in the settings.
const blocksPath = "blocks.version"

// CheckZones reads the index of the map that settings name and returns a *config.ProblemsError that names each site whose
// zone is not in settings. The path of a problem is that of the zone in base, the settings that were edited; a zone that is
// not there either is a problem of the map.
func CheckZones(ctx context.Context, store core.Store, base, settings *core.Settings) error {
	if settings.Blocks.Version == "" {
		return nil
	}
	index, err := ReadIndex(ctx, store, settings.Blocks)
	if err != nil {
		return errors.Annotate(err, blocksPath)
	}
	known, removed := regionsOf(settings), regionsOf(base)
	var problems config.ProblemsError
	for _, s := range index.Sites {
		if _, ok := known[s.Zone]; ok {
			continue
		}
		p := config.Problem{
			Path: blocksPath,
			Text: fmt.Sprintf("unknown availability zone %q, but site %q of the client blocks is next to it", s.Zone, s.Name),
		}
		if region, ok := removed[s.Zone]; ok {
			p.Path = "regions." + region + ".zones." + s.Zone
		}
		problems.Problems = append(problems.Problems, p)
	}
	if len(problems.Problems) == 0 {
		return nil
	}
	slices.SortStableFunc(problems.Problems, func(a, b config.Problem) int { return cmp.Compare(a.Path, b.Path) })
	return &problems
}

// regionsOf returns the region of each availability zone.
func regionsOf(settings *core.Settings) map[string]string {
	regions := map[string]string{}
	for name, region := range settings.Regions {
		for zone := range region.Zones {
			regions[zone] = name
		}
	}
	return regions
}
