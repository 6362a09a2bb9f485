// Package lease maintains the lease of an entry process. It also confirms the leases of the process's grantees: the
// members that have it as a grantor.
// Grantors and grantees are the parties of leases; core.Grant, the permission to send one request, is unrelated.
//
// The protocol is described in docs/design.md, section 2. These additional rules keep it safe:
//
//   - Only the member changes its set of grantors, and it stops counting confirmations by the old set before the
//     change is written. Otherwise the old grantors, which may not have seen the new document, could continue to
//     confirm. It counts the old set again only after a refusal, and only if no earlier request for the change had
//     an unknown result.
//   - A grantor confirms one incarnation with one set of grantors; its withdrawal from that set is final.
//     Confirming does not depend on the grantor's own lease or membership, so the end of one process does not end
//     the leases of others.
//   - A process whose incarnation changes stops being a grantor under the old one.
//   - An object whose takeover wait has not ended is not released, because its next owner would not wait.
//   - A revoked process rejoins only under a new incarnation.
//   - A refused release is rolled back only if no earlier request for the same change had an unknown result.
package lease
