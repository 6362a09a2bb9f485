package config

import (
	"fmt"
	"math"
	"strings"
	"unicode"
	"unicode/utf8"

	"ebonyrouter.dev/core"
)

// maxCustomerNameBytes bounds the header in which upstreams receive the name.
const maxCustomerNameBytes = 256

// customers checks the customers. A key that several customers have belongs to none of them, because it does not tell whose request it
// is. Of several customers with one name only the first is valid.
func (c *checker) customers() {
	list := c.settings.Customers
	owners := c.keyOwners()
	names := map[string]bool{}
	kept := c.items("customers", len(list), func(path string, i int) {
		customer, mark := &list[i], len(c.Problems)
		c.customerName(path+".name", customer.Name, names)
		customer.KeyDigests = c.keyDigests(path+".key_digests", i, customer.KeyDigests, owners)
		customer.HomeRegions = c.homeRegions(path+".home_regions", customer.HomeRegions)
		if p := customer.Priority; p != nil && *p < 0 {
			c.add(path+".priority", "%d is below 0", *p)
		}
		c.quantity(path+".requests_per_second", customer.RequestsPerSecond)
		c.quantity(path+".burst", customer.Burst)
		if len(c.Problems) == mark {
			names[customer.Name] = true
		}
	})
	if len(kept) == len(list) {
		return
	}
	valid := make([]core.CustomerSettings, 0, len(kept))
	for _, i := range kept {
		valid = append(valid, list[i])
	}
	c.settings.Customers = valid
}

// rankedAdmission checks that the settings have something to rank by. A switch without effect would be taken for a protection.
func (c *checker) rankedAdmission() {
	if c.settings.RankedAdmission && len(c.settings.Customers) == 0 && len(c.settings.RankedServices()) == 0 {
		c.omit("ranked_admission", "there are neither customers nor services with routes of several priorities")
	}
}

// customerName checks the name of a customer, which upstreams receive in a header.
func (c *checker) customerName(path, name string, names map[string]bool) {
	switch {
	case name == "":
		c.add(path, "the name is empty")
	case len(name) > maxCustomerNameBytes:
		c.add(path, "the name has %d bytes, more than %d", len(name), maxCustomerNameBytes)
	case !utf8.ValidString(name), strings.ContainsFunc(name, unicode.IsControl), strings.TrimSpace(name) != name:
		c.add(path, "%q has characters that a header cannot carry", name)
	case names[name]:
		c.add(path, "%q occurs more than once", name)
	}
}

// sharedKey is the owner of a key that several customers have.
const sharedKey = -1

// keyOwners returns the index of the customer of each key digest.
func (c *checker) keyOwners() map[core.KeyDigest]int {
	owners := map[core.KeyDigest]int{}
	for i := range c.settings.Customers {
		for _, text := range c.settings.Customers[i].KeyDigests {
			digest, err := core.ParseKeyDigest(text)
			if err != nil {
				continue
			}
			if owner, found := owners[digest]; found && owner != i {
				owners[digest] = sharedKey
				continue
			}
			owners[digest] = i
		}
	}
	return owners
}

// keyDigests checks the key digests of the customer with the given index and returns the valid ones. Its problems do not contain them.
func (c *checker) keyDigests(path string, index int, digests []string, owners map[core.KeyDigest]int) []string {
	valid := make([]string, 0, len(digests))
	for i, text := range digests {
		digest, err := core.ParseKeyDigest(text)
		switch {
		case err != nil:
			c.omit(fmt.Sprintf("%s[%d]", path, i), "not a SHA-256 of 64 hexadecimal digits")
		case owners[digest] != index:
			c.omit(fmt.Sprintf("%s[%d]", path, i), "another customer has the same key")
		default:
			valid = append(valid, text)
		}
	}
	return valid
}

// quantity checks a number that must be finite and not negative. A negative quota must not be taken for the absence of one.
func (c *checker) quantity(path string, value float64) {
	if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		c.add(path, "%g is not a finite number from 0", value)
	}
}
