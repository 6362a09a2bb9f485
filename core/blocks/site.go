package blocks

import (
	"regexp"

	"github.com/juju/errors"
)

// MaxSites is the largest number of sites of a map; a block stores its site in one byte.
const MaxSites = 255

// MaxWeight is the weight of a site all of whose clients start with the hosts of its zone, in percent.
const MaxWeight = 100

// namePattern is that of site and zone names; bytes that are not UTF-8 would change in the JSON form of the index.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Site is a group of client blocks next to an availability zone; Weight is the percentage of its clients whose list
// starts with the hosts of Zone, the others start with the rest of the region.
type Site struct {
	Name   string `json:"name" msgpack:"name"`
	Weight int    `json:"weight" msgpack:"weight"`
	Zone   string `json:"zone" msgpack:"zone"`
}

// Validate implements core.Validator.Validate.
func (s *Site) Validate() error {
	switch {
	case !namePattern.MatchString(s.Name):
		return errors.Errorf("name: %q is not up to 64 letters, digits and . _ - that start with a letter or digit", s.Name)
	case !namePattern.MatchString(s.Zone):
		return errors.Errorf("zone: %q is not up to 64 letters, digits and . _ - that start with a letter or digit", s.Zone)
	case s.Weight < 1 || s.Weight > MaxWeight:
		return errors.Errorf("weight: %d, want 1 to %d", s.Weight, MaxWeight)
	}
	return nil
}

func checkSites(sites []Site) error {
	if len(sites) == 0 || len(sites) > MaxSites {
		return errors.Errorf("%d sites, want 1 to %d", len(sites), MaxSites)
	}
	seen := map[string]bool{}
	for i := range sites {
		if err := sites[i].Validate(); err != nil {
			return errors.Annotatef(err, "site %d (%q)", i, sites[i].Name)
		}
		if seen[sites[i].Name] {
			return errors.Errorf("site %d (%q): name is used twice", i, sites[i].Name)
		}
		seen[sites[i].Name] = true
	}
	return nil
}
