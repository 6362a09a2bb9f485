// Package owner keeps the ownership document of a region in the store.
//
// Every change is a conditional update that is computed by a pure function from the document, the settings and the
// hosts. A change is repeated after a conflict; a lost answer is resolved by the change id and, where others have
// written since, by computing the change again, which does nothing if it was applied before.
//
// Each member has up to three grantors in different places. Only the member itself changes its set (core.LeaseAdvice,
// core.LeaseChange), because it has to stop counting the old grantors before: they may not know the new document and
// would go on confirming. A member is removed when enough grantors of its present set have withdrawn; the sets of
// others stay as they are. The steer of any region can write that.
//
// The older incarnation of a host stands in the way of a newer one until its grantors have withdrawn. A grantor whose
// host has had another incarnation registered for one lease term counts as withdrawn for this, so that a region whose
// processes were all restarted comes back. If hosts of such a set never return, an operator has to say that they are
// gone (Documents.Evict).
package owner
