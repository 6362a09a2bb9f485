package owner

import (
	"fmt"
	"slices"

	"ebonyrouter.dev/core"
)

// mutation changes a copy of the newest document, whose epoch is already incremented. It must do nothing if the document
// contains the change, because it is computed again when the result of a write is unknown.
type mutation func(document *core.Ownership) mutationResult

// applyChange applies a change that a member requests about itself, all of it or nothing.
func applyChange(document *core.Ownership, c core.LeaseChange) mutationResult {
	m, ok := document.Members[c.Host]
	if !ok || m.Incarnation != c.Incarnation {
		// The objects of this incarnation have already been revoked; their next owners wait for its lease to expire.
		return mutationResult{}
	}
	result := mutationResult{}
	// Another epoch means that an earlier request has changed the set. This is not a refusal, because the member must not
	// count the old set again.
	if len(c.Grantors) > 0 && m.GrantorsFrom == c.GrantorsFrom {
		if reason := invalidGrantors(c); reason != "" {
			return mutationResult{refusal: reason}
		}
		m.Grantors = c.Grantors
		m.GrantorsFrom = document.Epoch
		document.Members[c.Host] = m
		result.changed = true
	}
	for name, since := range c.Release {
		o := document.Objects[name]
		if o.Host != c.Host || o.Incarnation != c.Incarnation || o.Since != since {
			continue
		}
		document.Objects[name] = core.ObjectOwner{Since: document.Epoch}
		result.changed = true
	}
	if c.Leaving && !m.Leaving {
		m.Leaving = true
		document.Members[c.Host] = m
		result.changed = true
	}
	if c.Leave {
		removeMember(document, c.Host)
		result.changed = true
	}
	return result
}

// applyRevoke removes a member if enough grantors of its current set have withdrawn.
func applyRevoke(document *core.Ownership, r core.MemberRevoke) mutationResult {
	m, ok := document.Members[r.Host]
	if !ok || m.Incarnation != r.Incarnation {
		return mutationResult{}
	}
	if m.GrantorsFrom != r.GrantorsFrom {
		return mutationResult{refusal: fmt.Sprintf("host %q has had other grantors since epoch %d", r.Host, m.GrantorsFrom)}
	}
	if !hasRevokeQuorum(m, r.Withdrawn) {
		return mutationResult{refusal: fmt.Sprintf("not enough grantors of host %q have withdrawn: %v", r.Host, r.Withdrawn)}
	}
	removeMember(document, r.Host)
	return mutationResult{changed: true}
}

// hasRevokeQuorum reports whether enough grantors of the member are among the withdrawn ones to remove it.
func hasRevokeQuorum(m core.Member, withdrawn []core.GrantorRef) bool {
	_, needed := core.LeaseQuorum(len(m.Grantors))
	count := 0
	for _, g := range m.Grantors {
		if slices.Contains(withdrawn, g) {
			count++
		}
	}
	return needed > 0 && count >= needed
}

// invalidGrantors returns why a member may not have the grantors that it requests, or "" if it may.
func invalidGrantors(c core.LeaseChange) string {
	hosts := map[string]bool{c.Host: true}
	for _, g := range c.Grantors {
		if hosts[g.Host] || len(c.Grantors) > core.MaxGrantors {
			return fmt.Sprintf("host %q cannot have the grantors %v", c.Host, c.Grantors)
		}
		hosts[g.Host] = true
	}
	return ""
}

// removeMember removes a member. Its objects become revoked and have no owner; the next owner has to wait.
func removeMember(document *core.Ownership, host string) {
	delete(document.Members, host)
	for name, o := range document.Objects {
		if o.Host == host {
			document.Objects[name] = core.ObjectOwner{Revoked: true, Since: document.Epoch}
		}
	}
}
