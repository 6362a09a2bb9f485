package owner

import (
	"fmt"
	"slices"

	"ebonyrouter.dev/core"
)

// mutation changes a copy of the newest document, whose epoch is already the next one. It must do nothing if the
// document contains the change, because it is computed again when the outcome of a write is unknown.
type mutation func(document *core.Ownership) verdict

// applyChange makes what a member changes about itself, all or nothing.
func applyChange(document *core.Ownership, c core.LeaseChange) verdict {
	m, ok := document.Members[c.Host]
	if !ok || m.Incarnation != c.Incarnation {
		// Whatever this incarnation owned has another owner already, who waits.
		return verdict{}
	}
	v := verdict{}
	// Another epoch means that an earlier request has changed the set; the member must not go back to the set that it
	// knows, so this is no refusal.
	if len(c.Grantors) > 0 && m.GrantorsFrom == c.GrantorsFrom {
		if reason := refuseGrantors(c); reason != "" {
			return verdict{refusal: reason}
		}
		m.Grantors = c.Grantors
		m.GrantorsFrom = document.Epoch
		document.Members[c.Host] = m
		v.write = true
	}
	for name, since := range c.Release {
		o := document.Objects[name]
		if o.Host != c.Host || o.Incarnation != c.Incarnation || o.Since != since {
			continue
		}
		document.Objects[name] = core.ObjectOwner{Since: document.Epoch}
		v.write = true
	}
	if c.Leaving && !m.Leaving {
		m.Leaving = true
		document.Members[c.Host] = m
		v.write = true
	}
	if c.Leave {
		removeMember(document, c.Host)
		v.write = true
	}
	return v
}

// applyRevoke removes a member if enough grantors of its present set have withdrawn.
func applyRevoke(document *core.Ownership, r core.MemberRevoke) verdict {
	m, ok := document.Members[r.Host]
	if !ok || m.Incarnation != r.Incarnation {
		return verdict{}
	}
	if m.GrantorsFrom != r.GrantorsFrom {
		return verdict{refusal: fmt.Sprintf("host %q has had other grantors since epoch %d", r.Host, m.GrantorsFrom)}
	}
	if !mayRemove(m, r.Withdrawn) {
		return verdict{refusal: fmt.Sprintf("not enough grantors of host %q have withdrawn: %v", r.Host, r.Withdrawn)}
	}
	removeMember(document, r.Host)
	return verdict{write: true}
}

// mayRemove reports whether the withdrawals include a revoking set of the member's grantors.
func mayRemove(m core.Member, withdrawn []core.GrantorRef) bool {
	_, needed := core.LeaseQuorum(len(m.Grantors))
	count := 0
	for _, g := range m.Grantors {
		if slices.Contains(withdrawn, g) {
			count++
		}
	}
	return needed > 0 && count >= needed
}

// refuseGrantors returns why a member may not have the grantors it asks for, or "".
func refuseGrantors(c core.LeaseChange) string {
	hosts := map[string]bool{c.Host: true}
	for _, g := range c.Grantors {
		if hosts[g.Host] || len(c.Grantors) > core.MaxGrantors {
			return fmt.Sprintf("host %q cannot have the grantors %v", c.Host, c.Grantors)
		}
		hosts[g.Host] = true
	}
	return ""
}

// removeMember removes a member. Objects that it has not released have no owner, and the next one has to wait.
func removeMember(document *core.Ownership, host string) {
	delete(document.Members, host)
	for name, o := range document.Objects {
		if o.Host == host {
			document.Objects[name] = core.ObjectOwner{Revoked: true, Since: document.Epoch}
		}
	}
}
