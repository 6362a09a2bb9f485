package blocks

import (
	"net/netip"

	"github.com/juju/errors"
)

// Block assigns a client address prefix to a site; Site is the position of the site in the list of the map.
type Block struct {
	Prefix netip.Prefix
	Site   uint8
}

// Check returns an error if the prefix is not canonical or the site does not exist in a map with the given number of sites.
func (b Block) Check(sites int) error {
	if err := checkPrefix(b.Prefix); err != nil {
		return err
	}
	if int(b.Site) >= sites {
		return errors.Errorf("site %d does not exist, the map has %d sites", b.Site, sites)
	}
	return nil
}

// Compare orders blocks by address family, address and prefix length, which is the order within parts.
func Compare(a, b Block) int {
	if c := a.Prefix.Addr().Compare(b.Prefix.Addr()); c != 0 {
		return c
	}
	return a.Prefix.Bits() - b.Prefix.Bits()
}

// checkPrefix returns an error if a prefix is invalid, IPv4-mapped or has host bits set.
func checkPrefix(p netip.Prefix) error {
	switch {
	case !p.IsValid():
		return errors.New("prefix is invalid")
	case p.Addr().Is4In6():
		return errors.New("prefix is an IPv4 address in IPv6 form")
	case p.Masked() != p:
		return errors.New("prefix has address bits beyond its length")
	}
	return nil
}
