package core

import "github.com/juju/errors"

// maxName bounds the names of hosts, incarnations and regions in messages, in bytes.
const maxName = 200

// Validate implements Validator.Validate.
func (g GrantorRef) Validate() error {
	return errors.Annotate(checkNames("host", g.Host, "incarnation", g.Incarnation), "grantor")
}

// Validate implements Validator.Validate.
func (c LeaseChange) Validate() error {
	if err := checkNames("host", c.Host, "incarnation", c.Incarnation, "region", c.Region); err != nil {
		return errors.Trace(err)
	}
	if c.GrantorsFrom < 0 {
		return errors.NotValidf("grantors_from: %d", c.GrantorsFrom)
	}
	for object, since := range c.Release {
		if object == "" || since < 0 {
			return errors.NotValidf("release: object %q since %d", object, since)
		}
	}
	return errors.Trace(checkGrantors(c.Grantors))
}

// Validate implements Validator.Validate.
func (r LeaseRenew) Validate() error {
	if r.Epoch < 0 || r.GrantorsFrom < 0 {
		return errors.NotValidf("epoch %d or grantors_from %d", r.Epoch, r.GrantorsFrom)
	}
	return errors.Trace(checkNames("host", r.Host, "incarnation", r.Incarnation, "region", r.Region))
}

// Validate implements Validator.Validate.
func (w LeaseWithdrawn) Validate() error {
	if w.GrantorsFrom < 0 {
		return errors.NotValidf("grantors_from: %d", w.GrantorsFrom)
	}
	if err := checkNames("host", w.Host, "incarnation", w.Incarnation, "region", w.Region); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(w.Grantor.Validate())
}

// Validate implements Validator.Validate.
func (r MemberRevoke) Validate() error {
	if r.GrantorsFrom < 0 {
		return errors.NotValidf("grantors_from: %d", r.GrantorsFrom)
	}
	if err := checkNames("host", r.Host, "incarnation", r.Incarnation, "region", r.Region); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(checkGrantors(r.Withdrawn))
}

// checkGrantors returns the first error of a list of grantors.
func checkGrantors(grantors []GrantorRef) error {
	for _, g := range grantors {
		if err := g.Validate(); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// checkNames returns an error for the first empty or too long value among pairs of field and value.
func checkNames(pairs ...string) error {
	for i := 0; i+1 < len(pairs); i += 2 {
		if n := len(pairs[i+1]); n == 0 || n > maxName {
			return errors.NotValidf("%s: length %d", pairs[i], n)
		}
	}
	return nil
}
