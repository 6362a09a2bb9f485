package event

import "go.uber.org/zap/zapcore"

// Events of membership (500 to 599).
var (
	MemberRegistered = Info{500, zapcore.InfoLevel, "host registered", "The registration of this host was written to the store."}
	MemberStoreError = Info{501, zapcore.WarnLevel, "membership call to the store failed", "A call to the store, or to the relay that the fields name, failed. Reads and registrations are retried; meanwhile a steer learns about hosts from relays."}
	MemberSuspected  = Info{502, zapcore.WarnLevel, "host suspected", "No relay of its zone receives messages from the host; lookups do not return it."}
	MemberRecovered  = Info{503, zapcore.InfoLevel, "host no longer suspected", "A relay of its zone receives messages from the host again."}
	MemberRelay      = Info{504, zapcore.InfoLevel, "relay role changed", "This host has become a relay of its zone or has stopped being one."}
	RelayFailed      = Info{506, zapcore.WarnLevel, "no relay of the zone knows the changes", "The host reads the store itself until a relay answers again; the error is that of the last relay."}
	MemberRemoved    = Info{505, zapcore.InfoLevel, "registration removed", "The host was unresponsive for a long time and the platform does not list it as live."}
)

var memberTable = []Info{MemberRegistered, MemberStoreError, MemberSuspected, MemberRecovered, MemberRelay, MemberRemoved, RelayFailed}
