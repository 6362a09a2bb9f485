package core_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// TestMessageValidation guards against a message that changes an ownership document or the membership although it does not
// identify the member concerned or has a negative version or sequence number, and against a rejected valid message.
func TestMessageValidation(t *testing.T) {
	long := strings.Repeat("x", 1000)
	grantors := []core.GrantorRef{{Host: "b", Incarnation: "b1"}}
	digest := core.MemberDigest{Author: "a", Region: "r", Sequence: 1}
	host := core.HostChange{Host: core.Host{Host: "a"}, Version: 1}
	for name, tc := range map[string]struct {
		message core.Validator
		valid   bool
	}{
		"change":                      {core.LeaseChange{Grantors: grantors, Host: "a", Incarnation: "a1", Region: "r", Release: map[string]int64{"o": 1}}, true},
		"change without host":         {core.LeaseChange{Incarnation: "a1", Region: "r"}, false},
		"change with long region":     {core.LeaseChange{Host: "a", Incarnation: "a1", Region: long}, false},
		"change with empty grantor":   {core.LeaseChange{Grantors: make([]core.GrantorRef, 1), Host: "a", Incarnation: "a1", Region: "r"}, false},
		"change with empty object":    {core.LeaseChange{Host: "a", Incarnation: "a1", Region: "r", Release: map[string]int64{"": 1}}, false},
		"renew":                       {core.LeaseRenew{Host: "a", Incarnation: "a1", Region: "r"}, true},
		"renew without incarnation":   {core.LeaseRenew{Host: "a", Region: "r"}, false},
		"renew with negative epoch":   {core.LeaseRenew{Epoch: -1, Host: "a", Incarnation: "a1", Region: "r"}, false},
		"revoke":                      {core.MemberRevoke{Host: "a", Incarnation: "a1", Region: "r", Withdrawn: grantors}, true},
		"revoke without region":       {core.MemberRevoke{Host: "a", Incarnation: "a1"}, false},
		"withdrawn":                   {core.LeaseWithdrawn{Grantor: grantors[0], Host: "a", Incarnation: "a1", Region: "r"}, true},
		"withdrawn without grantor":   {core.LeaseWithdrawn{Host: "a", Incarnation: "a1", Region: "r"}, false},
		"update":                      {core.MemberUpdate{Author: "a", Changes: []core.HostChange{host}, Digests: []core.MemberDigest{digest}, ForHosts: true}, true},
		"update without author":       {core.MemberUpdate{ForHosts: true}, false},
		"list without author":         {core.MemberUpdate{Complete: true}, false},
		"update of host without name": {core.MemberUpdate{Author: "a", Changes: []core.HostChange{{Version: 1}}}, false},
		"update of negative version":  {core.MemberUpdate{Author: "a", Base: -1}, false},
		"beat with negative sequence": {core.MemberUpdate{Author: "a", Beats: []core.MemberBeat{{Sequence: -1}}}, false},
		"digest without author":       {core.MemberUpdate{Author: "a", Digests: []core.MemberDigest{{Region: "r"}}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tc.message.Validate() == nil, tc.valid)
		})
	}
}
