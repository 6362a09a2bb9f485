package event

import "go.uber.org/zap/zapcore"

// Events of the store (1000 to 1099).
var (
	StoreCalled       = Info{1000, zapcore.DebugLevel, "store called", "The debug variant of the store client made one call; the error is empty on success."}
	StandInFaultsSet  = Info{1001, zapcore.InfoLevel, "store stand-in faults set", "A control call of the store stand-in switched its faults."}
	StandInCallFailed = Info{1002, zapcore.WarnLevel, "store stand-in answer failed", "The store stand-in could not write an answer to its connection."}
)

var storeTable = []Info{StoreCalled, StandInFaultsSet, StandInCallFailed}
