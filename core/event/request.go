package event

import "go.uber.org/zap/zapcore"

// Events of the request path (600 to 699).
var (
	RequestTruncated   = Info{600, zapcore.WarnLevel, "upstream response ended early", "If the response to the caller had begun, the caller's connection was closed so that the partial response cannot be taken for a complete one."}
	RequestTimedOut    = Info{601, zapcore.WarnLevel, "upstream did not respond within the attempt timeout", "Older connections to the target are suspect and are closed when they become idle."}
	RequestRefused     = Info{602, zapcore.WarnLevel, "no connection to the upstream", "No byte of the request was sent; the request may be tried at another target or host."}
	RequestLeaseEnded  = Info{603, zapcore.WarnLevel, "lease expired before the request was written", "The request was not sent; it may be tried at another host."}
	RequestNotRecorded = Info{604, zapcore.ErrorLevel, "outcome of a keyed request was not recorded", "Retries with the key receive the result that the request may have run."}
	RequestBroken      = Info{605, zapcore.WarnLevel, "connection to the upstream failed before the response", "The request may have run; only idempotent requests are retried."}
	HandlerPanicked    = Info{606, zapcore.ErrorLevel, "request handler panicked", "A bug in this program; the caller's connection was closed. The stack trace shows the location."}
	CallerBroken       = Info{607, zapcore.InfoLevel, "connection of a caller ended with requests in progress", "The caller disconnected or a response could not be completed; the requests were cancelled. The reason states which."}
	RequestPlaced      = Info{610, zapcore.InfoLevel, "request placed", "A target was chosen; the fields are the values behind the choice: expected time, requests in progress, age of the target's load report, version of the target list."}
	RequestRejected    = Info{611, zapcore.InfoLevel, "request rejected before any target", "The request was not run; the fields state what was expected and after which time the caller may retry."}
	RequestCompleted   = Info{612, zapcore.InfoLevel, "request completed", "A request has ended; the fields are its result code, whether it ran, its attempts and the version of the settings that determined its route."}
	LinesDropped       = Info{613, zapcore.WarnLevel, "log lines dropped", "More lines were logged than the limit permits or than the reader of the log consumed; the field counts the dropped lines since the start."}
)

var requestTable = []Info{
	RequestTruncated, RequestTimedOut, RequestRefused, RequestLeaseEnded, RequestNotRecorded, RequestBroken, HandlerPanicked, CallerBroken,
	RequestPlaced, RequestRejected, RequestCompleted, LinesDropped,
}
