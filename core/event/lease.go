package event

import "go.uber.org/zap/zapcore"

// Events of leases and ownership (400 to 499).
var (
	LeaseJoined      = Info{400, zapcore.InfoLevel, "joined the ownership document", "The entry process is a member of its region and may own objects."}
	LeaseRevoked     = Info{401, zapcore.WarnLevel, "lease revoked", "This process was removed from the ownership document; it joins again under a new incarnation."}
	LeaseTakeover    = Info{402, zapcore.InfoLevel, "waiting to use a revoked object", "The previous owner did not release the object; this process uses it after the stated wait."}
	LeaseWithdrawn   = Info{403, zapcore.WarnLevel, "withdrew as a grantor", "The grantee did not renew its lease or was replaced; once enough grantors have withdrawn, its lease is revoked."}
	LeaseChanged     = Info{405, zapcore.InfoLevel, "ownership document changed", "This steer wrote the ownership document of the stated region at a new epoch."}
	LeaseWriteFailed = Info{406, zapcore.WarnLevel, "ownership document not changed", "The document could not be read or written, or the response to a write was lost; the operation that the reason names is retried."}
	LeaseEvicted     = Info{407, zapcore.WarnLevel, "members removed without withdrawal of their grantors", "The members had no grantors, the grantors of an older incarnation were replaced, or an operator declared the hosts gone."}
	LeaseGrantors    = Info{408, zapcore.InfoLevel, "changing grantors", "A grantor has stopped or withdrawn, or better ones exist; confirmations of the old set do not count until the change is decided."}
)

var leaseTable = []Info{
	LeaseJoined, LeaseRevoked, LeaseTakeover, LeaseWithdrawn, LeaseChanged, LeaseWriteFailed, LeaseEvicted, LeaseGrantors,
}
