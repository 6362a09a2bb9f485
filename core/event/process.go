package event

import "go.uber.org/zap/zapcore"

// Events of process start and stop (100 to 199).
var (
	ProcessStarted  = Info{100, zapcore.InfoLevel, "process started", "The process has checked its settings and listens."}
	ProcessStopping = Info{101, zapcore.InfoLevel, "process stopping", "A stop signal arrived; requests in flight are finished first."}
	ProcessStopped  = Info{102, zapcore.InfoLevel, "process stopped", "The process ends; the fields say what was interrupted."}
	ProcessFailed   = Info{103, zapcore.ErrorLevel, "process failed", "The process cannot go on; the error names the cause."}
)

var processTable = []Info{ProcessStarted, ProcessStopping, ProcessStopped, ProcessFailed}
