package event

import "go.uber.org/zap/zapcore"

// Events of process start and stop (100 to 199).
var (
	ProcessStarted  = Info{100, zapcore.InfoLevel, "process started", "The process has validated its settings and is listening."}
	ProcessStopping = Info{101, zapcore.InfoLevel, "process stopping", "A stop signal was received; in-flight requests are completed first."}
	ProcessStopped  = Info{102, zapcore.InfoLevel, "process stopped", "The process exits; the fields state what was interrupted."}
	ProcessFailed   = Info{103, zapcore.ErrorLevel, "process failed", "The process exits because of an error, which states the cause."}
)

var processTable = []Info{ProcessStarted, ProcessStopping, ProcessStopped, ProcessFailed}
