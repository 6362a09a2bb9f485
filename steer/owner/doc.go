// Package owner maintains the ownership document of a region in the store.
//
// Each change is a conditional update that a pure function computes from the document, the settings and the hosts. A
// change is retried after a conflict. A lost response is resolved by the change ID or, if others have written since, by
// computing the change again, which does nothing if it was already applied.
//
// Each member has up to three grantors in different zones and regions. Only the member itself changes its set of
// grantors (core.LeaseAdvice, core.LeaseChange), because it has to stop counting the old grantors first: they may not
// have seen the new document and would continue to confirm. A member is removed when enough grantors of its current set
// have withdrawn; the sets of other members do not change. The steer of any region can write the removal.
//
// An older incarnation of a host blocks a newer one until its grantors have withdrawn. For this purpose a grantor whose
// host has had another incarnation registered for one lease term and the clock drift margin counts as withdrawn, so that
// a region recovers after all its processes were restarted. If hosts of such a set never return, an operator has to
// declare them gone (Documents.Evict).
package owner
