package event

import "go.uber.org/zap/zapcore"

// Events of the store (1000 to 1099).
var (
	StoreCalled             = Info{1000, zapcore.DebugLevel, "store called", "The store client with debug logging made one call; the error is empty on success."}
	TestStoreFaultsSet      = Info{1001, zapcore.InfoLevel, "test store faults set", "A control call to the test store changed its injected faults."}
	TestStoreResponseFailed = Info{1002, zapcore.WarnLevel, "test store response failed", "The test store could not write a response to its connection."}
)

var storeTable = []Info{StoreCalled, TestStoreFaultsSet, TestStoreResponseFailed}
