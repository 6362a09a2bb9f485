package blocks

import (
	"net/netip"

	"github.com/juju/errors"
)

// Block is a client prefix and the index of its site.
type Block struct {
	Prefix netip.Prefix
	Site   uint8
}

// Check returns an error unless the block is valid in a map with this number of sites.
func (b Block) Check(sites int) error {
	if err := checkPrefix(b.Prefix); err != nil {
		return err
	}
	if int(b.Site) >= sites {
		return errors.Errorf("site %d does not exist, there are %d", b.Site, sites)
	}
	return nil
}

// Compare orders blocks by family, address and length, as they are stored in parts.
func Compare(a, b Block) int {
	if c := a.Prefix.Addr().Compare(b.Prefix.Addr()); c != 0 {
		return c
	}
	return a.Prefix.Bits() - b.Prefix.Bits()
}

func checkPrefix(p netip.Prefix) error {
	switch {
	case !p.IsValid():
		return errors.New("prefix is invalid")
	case p.Addr().Is4In6():
		return errors.New("prefix is an IPv4 address in IPv6 form")
	case p.Masked() != p:
		return errors.New("prefix has address bits behind its length")
	}
	return nil
}
