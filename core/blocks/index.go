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

// MaxParts is the largest number of parts in a map.
const MaxParts = 1 << 12

// digestBytes is the number of SHA-256 bytes in a digest. 128 bits rule out accidental collisions, and their 32 hexadecimal
// digits fit into a key.
const digestBytes = 16

const (
	keyIndexPrefix = core.KeyBlocksPrefix + "map/"
	keyPartPrefix  = core.KeyBlocksPrefix + "part/"
)

var digestPattern = regexp.MustCompile(`^[0-9a-f]{32}$`)

// Index lists the sites and parts of a map; parts are in ascending order of their address ranges.
type Index struct {
	Parts []PartRef `json:"parts" msgpack:"parts"`
	Sites []Site    `json:"sites" msgpack:"sites"`
}

// Encode returns the content of the index object and the version of the map, which is the digest of that content.
func (x *Index) Encode() ([]byte, string, error) {
	content, err := json.Marshal(x)
	if err != nil {
		return nil, "", errors.Annotate(err, "encode block index")
	}
	return content, digest(content), nil
}

// FindPart returns the position of the part whose address range contains an address.
func (x *Index) FindPart(address netip.Addr) int {
	i, ok := slices.BinarySearchFunc(x.Parts, address, func(p PartRef, a netip.Addr) int { return p.From.Compare(a) })
	if ok {
		return i
	}
	return i - 1
}

// PartsNotIn returns the positions of the parts of x that other lacks: other has no part with the same first address and
// digest. The index other must have at least one part.
func (x *Index) PartsNotIn(other *Index) []int {
	var parts []int
	for i, p := range x.Parts {
		if !other.containsPart(p) {
			parts = append(parts, i)
		}
	}
	return parts
}

// PartRange returns the address range of a part: from is the first address in the range, end the first address after it. For
// the last part end is invalid.
func (x *Index) PartRange(part int) (from, end netip.Addr) {
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

// containsPart reports whether the index has a part with the same first address and digest.
func (x *Index) containsPart(part PartRef) bool {
	found := x.Parts[x.FindPart(part.From)]
	return found.From == part.From && found.Digest == part.Digest
}

// IndexKey returns the store key of the index of a map version.
func IndexKey(version string) string {
	return keyIndexPrefix + version
}

// digest returns the first digestBytes bytes of the SHA-256 of content in hexadecimal.
func digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:digestBytes])
}
