// Package lease holds the lease of an entry process and confirms the leases of its grantees.
//
// The rules are those of docs/design.md, section 2, with these additions that keep them safe:
//
//   - Only the member changes its set of grantors, and it stops counting the old set before the change is written.
//     Otherwise the old grantors, unaware of the new document, could go on confirming. It counts the old set again
//     only after a refusal, and only if no earlier request for the change went unanswered.
//   - A grantor answers for one incarnation and one set; its withdrawal from that set is final. It does not depend on
//     the grantor's own lease or membership, so that the end of one process does not end the leases of others.
//   - A process whose incarnation changes is no grantor any more under the old one.
//   - An object whose takeover wait is not over is not released, because its next owner would not wait.
//   - A revoked process takes part again only under a new incarnation.
//   - A refusal of a release is believed only if no earlier request for the same change went unanswered.
package lease
