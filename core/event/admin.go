package event

import "go.uber.org/zap/zapcore"

// Events of the administration API (900 to 999).
var (
	AdminUnauthorized = Info{900, zapcore.WarnLevel, "administration request rejected", "A request to the administration API had no valid token."}
)

var adminTable = []Info{AdminUnauthorized}
