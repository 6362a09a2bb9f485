package event

import "go.uber.org/zap/zapcore"

// Events of membership (500 to 599).
var (
	MemberRegistered = Info{500, zapcore.InfoLevel, "host registered", "The registration of this host was written to the store."}
	MemberStoreError = Info{501, zapcore.WarnLevel, "membership call to the store failed", "The call is repeated; hosts are known from relays meanwhile."}
	MemberSuspected  = Info{502, zapcore.WarnLevel, "host suspected", "No relay of its zone hears from the host; look-ups do not name it."}
	MemberHeard      = Info{503, zapcore.InfoLevel, "host heard again", "A relay of its zone hears from the host again."}
	MemberRelay      = Info{504, zapcore.InfoLevel, "relay duty changed", "This host has become or stopped being a relay of its zone."}
	MemberForgotten  = Info{505, zapcore.InfoLevel, "registration removed", "The host was silent for long and the platform does not list it as live."}
)

var memberTable = []Info{MemberRegistered, MemberStoreError, MemberSuspected, MemberHeard, MemberRelay, MemberForgotten}
