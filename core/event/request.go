package event

import "go.uber.org/zap/zapcore"

// Events of the request path (600 to 699).
var (
	RequestTruncated    = Info{600, zapcore.WarnLevel, "upstream response ended early", "If the response to the caller had begun, the caller's connection was closed so that the partial response cannot be taken for a complete one."}
	RequestTimedOut     = Info{601, zapcore.WarnLevel, "upstream did not respond within the attempt timeout", "Older connections to the target are suspect and are closed when they become idle."}
	RequestRefused      = Info{602, zapcore.WarnLevel, "no connection to the upstream", "No byte of the request was sent; the request may be tried at another target or host."}
	RequestLeaseEnded   = Info{603, zapcore.WarnLevel, "lease expired before the request was written", "The request was not sent; it may be tried at another host."}
	RequestNotRecorded  = Info{604, zapcore.ErrorLevel, "outcome of a keyed request was not recorded", "Retries with the key receive the result that the request may have run."}
	RequestBroken       = Info{605, zapcore.WarnLevel, "connection to the upstream failed before the response", "The request may have run; only idempotent requests are retried."}
	HandlerPanicked     = Info{606, zapcore.ErrorLevel, "request handler panicked", "A bug in this program; the caller's connection was closed. The stack trace shows the location."}
	CallerBroken        = Info{607, zapcore.InfoLevel, "connection of a caller ended with requests in progress", "The caller disconnected or a response could not be completed; the requests were cancelled. The reason states which."}
	RequestPlaced       = Info{610, zapcore.InfoLevel, "request placed", "A target was chosen; the fields are the values behind the choice: expected time, requests in progress, age of the target's load report, version of the target list."}
	RequestRejected     = Info{611, zapcore.InfoLevel, "request rejected before any target", "The request was not run; the fields state what was expected and after which time the caller may retry."}
	RequestCompleted    = Info{612, zapcore.InfoLevel, "request completed", "A request has ended; the fields are its result code, whether it ran, its attempts and the version of the settings that determined its route."}
	SettingsPartInvalid = Info{620, zapcore.WarnLevel, "part of the settings is invalid", "The part at the path is left out or replaced by the safest value; the rest of the version is in force. A line without a path states how many further parts there are."}
	RequestKeyRefused   = Info{621, zapcore.InfoLevel, "request refused by its API key", "The route requires a key and the request has none that is known, or its customer may not run where the route does; nothing was run. The key is not logged."}
	RequestUnproven     = Info{622, zapcore.InfoLevel, "request refused without proof of its API key", "This host could not prove that its settings are recent, or the key was withdrawn before an attempt was sent; this attempt was not run."}
	RequestOverQuota    = Info{623, zapcore.InfoLevel, "request refused by the quota of its customer", "The customer has used up its quota or the share of it that this host has; nothing was run."}
	ServiceScarce       = Info{640, zapcore.WarnLevel, "service has too little room", "Targets had no room for requests of the service; from now on less urgent requests and customers above their fair share are refused first."}
	ServiceRoomy        = Info{641, zapcore.InfoLevel, "service has room for all requests again", "Requests of the service are no longer refused by rank or customer."}
	CustomerExcess      = Info{642, zapcore.InfoLevel, "customer exceeds its fair share", "The service has too little room and the customer sends more than its fair share, so that some of its requests are refused before those of others. Logged once for each customer and time of too little room."}
	CustomersFull       = Info{643, zapcore.WarnLevel, "more customers than can be told apart", "Further customers of the host share one fair share until some of the others have sent nothing for two minutes."}
	LinesDropped        = Info{613, zapcore.WarnLevel, "log lines dropped", "More lines were logged than the limit permits or than the reader of the log consumed; the field counts the dropped lines since the start."}
	QuotaCoordinating   = Info{625, zapcore.InfoLevel, "coordinator of quotas elected", "This process divides the quotas of customers from now on. Until the wait has passed, it grants only what hosts report as held."}
	QuotaStepDown       = Info{626, zapcore.InfoLevel, "coordinator of quotas stepped down", "Another process is elected, or the store was restored from an older copy; hosts keep their shares until their leases end."}
	QuotaUnreachable    = Info{627, zapcore.WarnLevel, "coordinator of quotas unreachable", "The host got no shares; it uses those that it has until their leases end, and then a small part that needs no share."}
	QuotaRefused        = Info{628, zapcore.InfoLevel, "request over the quota of its customer", "The share of this host is used up; the fields are the share, its age and the election that granted it."}
	QuotaShareChanged   = Info{629, zapcore.DebugLevel, "share of a quota changed", "The rate of the share of this host has changed by more than a quarter."}
)

var requestTable = []Info{
	RequestTruncated, RequestTimedOut, RequestRefused, RequestLeaseEnded, RequestNotRecorded, RequestBroken, HandlerPanicked, CallerBroken,
	RequestPlaced, RequestRejected, RequestCompleted, LinesDropped, SettingsPartInvalid, RequestKeyRefused, RequestUnproven, RequestOverQuota,
	QuotaCoordinating, QuotaStepDown, QuotaUnreachable, QuotaRefused, QuotaShareChanged,
	ServiceScarce, ServiceRoomy, CustomerExcess, CustomersFull,
}
