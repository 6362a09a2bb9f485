package blocks

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"regexp"
	"slices"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// MaxParts is the largest number of parts of a map.
const MaxParts = 1 << 12

// digestBytes is the length of a digest; 128 bits of SHA-256 do not collide by chance, and 32 digits fit a name.
const digestBytes = 16

const (
	keyIndexPrefix = core.KeyBlocksPrefix + "map/"
	keyPartPrefix  = core.KeyBlocksPrefix + "part/"
)

var digestPattern = regexp.MustCompile(`^[0-9a-f]{32}$`)

// Index lists the sites and parts of a map, the parts in the order of their ranges.
type Index struct {
	Parts []PartRef `json:"parts" msgpack:"parts"`
	Sites []Site    `json:"sites" msgpack:"sites"`
}

// Encode returns the content of the index in the store and the version that names it.
func (x *Index) Encode() ([]byte, string, error) {
	content, err := json.Marshal(x)
	if err != nil {
		return nil, "", errors.Annotate(err, "encode block index")
	}
	return content, digest(content), nil
}

// Find returns the position of the part whose range contains an address.
func (x *Index) Find(address netip.Addr) int {
	i, ok := slices.BinarySearchFunc(x.Parts, address, func(p PartRef, a netip.Addr) int { return p.From.Compare(a) })
	if ok {
		return i
	}
	return i - 1
}

// Missing returns the positions of the parts that other, which has parts, does not have at the same place.
func (x *Index) Missing(other *Index) []int {
	var parts []int
	for i, p := range x.Parts {
		if !other.contains(p) {
			parts = append(parts, i)
		}
	}
	return parts
}

// Range returns the addresses of a part; end is the first one above it and invalid for the last part.
func (x *Index) Range(part int) (from, end netip.Addr) {
	if part+1 < len(x.Parts) {
		end = x.Parts[part+1].From
	}
	return x.Parts[part].From, end
}

// Validate implements core.Validator.Validate.
func (x *Index) Validate() error {
	if err := checkSites(x.Sites); err != nil {
		return err
	}
	if len(x.Parts) == 0 || len(x.Parts) > MaxParts {
		return errors.Errorf("%d parts, want 1 to %d", len(x.Parts), MaxParts)
	}
	if x.Parts[0].From != firstAddress {
		return errors.Errorf("part 0 starts at %v, not at %v", x.Parts[0].From, firstAddress)
	}
	for i, p := range x.Parts {
		if !digestPattern.MatchString(p.Digest) {
			return errors.Errorf("part %d: %q is not a digest", i, p.Digest)
		}
		if i > 0 && !x.Parts[i-1].From.Less(p.From) {
			return errors.Errorf("part %d: %v does not follow %v", i, p.From, x.Parts[i-1].From)
		}
	}
	return nil
}

// contains reports whether an equal part starts at the same address.
func (x *Index) contains(part PartRef) bool {
	found := x.Parts[x.Find(part.From)]
	return found.From == part.From && found.Digest == part.Digest
}

// IndexKey returns the key of the index of a map in the store.
func IndexKey(version string) string {
	return keyIndexPrefix + version
}

func digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:digestBytes])
}
