package blocks

import (
	"regexp"

	"github.com/juju/errors"
)

// MaxSites is the largest number of sites in a map; a block stores the index of its site in one byte.
const MaxSites = 255

// MaxWeight is the largest weight of a site in percent. With this weight the host lists of all clients of the site start
// with the hosts of its zone.
const MaxWeight = 100

// namePattern matches valid names of sites and zones. It allows ASCII only, because the JSON encoding of the index would
// alter bytes that are not valid UTF-8.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Site is a group of client blocks and the availability zone that is nearest to them. Weight is the percentage of clients
// whose host list starts with the hosts of Zone; the lists of the others start with the other zones of the region.
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

// checkSites returns an error if there are no sites or too many, a site is invalid, or a name is used twice.
func checkSites(sites []Site) error {
	if len(sites) == 0 || len(sites) > MaxSites {
		return errors.Errorf("%d sites, want 1 to %d", len(sites), MaxSites)
	}
	names := map[string]bool{}
	for i := range sites {
		if err := sites[i].Validate(); err != nil {
			return errors.Annotatef(err, "site %d (%q)", i, sites[i].Name)
		}
		if names[sites[i].Name] {
			return errors.Errorf("site %d (%q): name is used twice", i, sites[i].Name)
		}
		names[sites[i].Name] = true
	}
	return nil
}
