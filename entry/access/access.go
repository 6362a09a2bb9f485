package access

import (
	"net/http"
	"slices"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

// Access is what the settings permit to one request. The zero value is that of settings without API keys.
type Access struct {
	// Customer is the customer whose key the request carries, or nil if the request needs none.
	Customer *core.CustomerSettings
	// HomeRegions lists the only regions in which the request may run; an empty list permits every region.
	HomeRegions []string
	// KeysRequired means that the settings require keys. Authorization must not be passed on then, and the customer's name replaces
	// the one that the caller sent.
	KeysRequired bool
	// Priority is the rank of the request; 0 is the highest.
	Priority int64
	digest   core.KeyDigest
	// keyed means that the request was accepted because of its key.
	keyed bool
}

// Of returns the access of a caller's request. route is nil if the service was selected without one. The error is a
// *core.RejectedError: with the code UnknownKey if the route requires a key and the request has none that is known, or with
// NoPermittedTarget if the home regions of route and customer have none in common. The returned access is valid in both cases.
//
// On a public route a key is not checked and the request has no customer, so that it needs neither a proof nor a quota. The home
// regions of the key's customer still apply, because they only restrict.
func Of(snapshot *core.Snapshot, route *core.RouteSettings, header http.Header) (Access, error) {
	a := ofRoute(snapshot, route)
	if !a.KeysRequired {
		return a, nil
	}
	public := route != nil && route.Public
	text, found := key(header)
	var customer *core.CustomerSettings
	if found {
		a.digest = core.DigestKey(text)
		customer, found = snapshot.Customers.Find(a.digest)
	}
	switch {
	case !found && public:
		return a, nil
	case !found:
		return a, unknownKey("the request has no known API key")
	case public:
		return a, a.restrict(customer)
	}
	a.keyed = true
	return a, a.apply(customer)
}

// OfRelayed returns the access of a request whose key another entry process has checked and whose customer and home regions it names.
// A customer that these settings do not have adds no limits, because the other process has newer or older settings. The error is that
// of Of.
func OfRelayed(snapshot *core.Snapshot, homeRegions []string, customer string) (Access, error) {
	a := ofRoute(snapshot, nil)
	a.HomeRegions = homeRegions
	if !a.KeysRequired {
		return a, nil
	}
	named, found := snapshot.Customers.Named(customer)
	if !found {
		return a, nil
	}
	return a, a.apply(named)
}

// Check returns nil if the request may still be sent under a later snapshot, and otherwise a *core.RejectedError with the code
// UnknownKey: its key was withdrawn or now belongs to another customer.
func (a *Access) Check(snapshot *core.Snapshot) error {
	if !a.keyed || !snapshot.Settings.RequireKeys {
		return nil
	}
	customer, found := snapshot.Customers.Find(a.digest)
	if !found || customer.Name != a.Customer.Name {
		return unknownKey("the API key of the request was withdrawn")
	}
	return nil
}

// Keyed reports whether the request was accepted because of its key, so that it needs proven settings and counts against a quota.
func (a *Access) Keyed() bool {
	return a.keyed
}

// Name returns the name of the customer, or an empty string if there is none.
func (a *Access) Name() string {
	if a.Customer == nil {
		return ""
	}
	return a.Customer.Name
}

// apply sets the customer and the limits that follow from it.
func (a *Access) apply(customer *core.CustomerSettings) error {
	a.Customer = customer
	if customer.Priority != nil {
		a.Priority = *customer.Priority
	}
	return a.restrict(customer)
}

// restrict reduces the home regions to those of the customer.
func (a *Access) restrict(customer *core.CustomerSettings) error {
	switch {
	case len(customer.HomeRegions) == 0:
		return nil
	case len(a.HomeRegions) == 0:
		a.HomeRegions = customer.HomeRegions
		return nil
	}
	var common []string
	for _, region := range a.HomeRegions {
		if slices.Contains(customer.HomeRegions, region) {
			common = append(common, region)
		}
	}
	if len(common) == 0 {
		return &core.RejectedError{Code: codes.NoPermittedTarget, Text: "the home regions of the route and of the customer have none in common"}
	}
	a.HomeRegions = common
	return nil
}

// ofRoute returns the access of a request without a customer.
func ofRoute(snapshot *core.Snapshot, route *core.RouteSettings) Access {
	a := Access{KeysRequired: snapshot.Settings.RequireKeys}
	if route != nil {
		a.HomeRegions, a.Priority = route.HomeRegions, route.Priority
	}
	return a
}

func unknownKey(text string) error {
	return &core.RejectedError{Code: codes.UnknownKey, Text: text}
}
