package core

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/juju/errors"
)

// KeyDigest is the SHA-256 of an API key; keys themselves are neither stored nor logged.
type KeyDigest [sha256.Size]byte

// CustomerSettings describes a customer: the digests of its API keys, its rank and its limits. The name identifies it in
// headers, logs and metrics.
type CustomerSettings struct {
	// Burst is the number of requests beyond RequestsPerSecond that may come at once.
	Burst float64 `json:"burst,omitempty" msgpack:"burst"`
	// HomeRegions lists the only regions in which the customer's requests may run; an empty list permits every region.
	HomeRegions []string `json:"home_regions,omitempty" msgpack:"home_regions"`
	// KeyDigests holds the lower-case hexadecimal SHA-256 of each API key.
	KeyDigests []string `json:"key_digests" msgpack:"key_digests"`
	Name       string   `json:"name" msgpack:"name"`
	// Priority replaces the priority of the route if it is not nil; 0 is the highest.
	Priority *int64 `json:"priority,omitempty" msgpack:"priority"`
	// RequestsPerSecond is the quota of all hosts together; 0 means that there is none.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty" msgpack:"requests_per_second"`
}

// CustomerPlan finds customers by the digest of an API key and by name. It is built once per snapshot.
type CustomerPlan struct {
	byDigest map[KeyDigest]*CustomerSettings
	byName   map[string]*CustomerSettings
}

// Find returns the customer that holds the key with the given digest, or false if none does. A nil plan has no customers.
func (p *CustomerPlan) Find(digest KeyDigest) (*CustomerSettings, bool) {
	if p == nil {
		return nil, false
	}
	customer, found := p.byDigest[digest]
	return customer, found
}

// Named returns the customer with the given name, or false if there is none. A nil plan has no customers.
func (p *CustomerPlan) Named(name string) (*CustomerSettings, bool) {
	if p == nil {
		return nil, false
	}
	customer, found := p.byName[name]
	return customer, found
}

// NewCustomerPlan indexes customers whose settings are checked.
func NewCustomerPlan(customers []CustomerSettings) *CustomerPlan {
	p := &CustomerPlan{byDigest: map[KeyDigest]*CustomerSettings{}, byName: make(map[string]*CustomerSettings, len(customers))}
	for i := range customers {
		c := &customers[i]
		p.byName[c.Name] = c
		for _, text := range c.KeyDigests {
			if digest, err := ParseKeyDigest(text); err == nil {
				p.byDigest[digest] = c
			}
		}
	}
	return p
}

// maxStackKeyBytes is the length up to which a key is digested without an allocation.
const maxStackKeyBytes = 256

// DigestKey returns the digest of an API key. A key of up to maxStackKeyBytes is digested without an allocation, since that happens
// for each request.
func DigestKey(key string) KeyDigest {
	if len(key) > maxStackKeyBytes {
		return sha256.Sum256([]byte(key))
	}
	var buffer [maxStackKeyBytes]byte
	n := copy(buffer[:], key)
	return sha256.Sum256(buffer[:n])
}

// ParseKeyDigest parses the hexadecimal form of a digest. It returns a NotValid error that does not contain the text.
func ParseKeyDigest(text string) (KeyDigest, error) {
	var digest KeyDigest
	n, err := hex.Decode(digest[:], []byte(text[:min(len(text), hex.EncodedLen(len(digest)))]))
	if err != nil || n != len(digest) || len(text) != hex.EncodedLen(n) {
		return KeyDigest{}, errors.NotValidf("key digest of %d characters", len(text))
	}
	return digest, nil
}

// String returns the hexadecimal form.
func (d KeyDigest) String() string {
	return hex.EncodeToString(d[:])
}
