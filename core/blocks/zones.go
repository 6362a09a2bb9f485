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

// blocksPath is the settings path of the map version.
const blocksPath = "blocks.version"

// CheckZones reads the index of the map that settings refer to and returns a *config.ProblemsError that lists each site whose
// zone is not in settings. The path of a problem is that of the zone in base, the settings before the edit; if base lacks the
// zone too, the path is that of the map.
func CheckZones(ctx context.Context, store core.Store, base, settings *core.Settings) error {
	if settings.Blocks.Version == "" {
		return nil
	}
	index, err := ReadIndex(ctx, store, settings.Blocks)
	if err != nil {
		return errors.Annotate(err, blocksPath)
	}
	regions, baseRegions := regionByZone(settings), regionByZone(base)
	var problems config.ProblemsError
	for _, s := range index.Sites {
		if _, ok := regions[s.Zone]; ok {
			continue
		}
		p := config.Problem{
			Path: blocksPath,
			Text: fmt.Sprintf("unknown availability zone %q, which site %q of the client block map refers to", s.Zone, s.Name),
		}
		if region, ok := baseRegions[s.Zone]; ok {
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

// regionByZone returns the name of the region of each availability zone.
func regionByZone(settings *core.Settings) map[string]string {
	regions := map[string]string{}
	for name, region := range settings.Regions {
		for zone := range region.Zones {
			regions[zone] = name
		}
	}
	return regions
}
