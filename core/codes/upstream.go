package codes

// Results of requests that may have reached an upstream (4000 to 4999).
const (
	UpstreamUnreachable Code = 4001
	UpstreamTimeout     Code = 4002
	UpstreamBroken      Code = 4003
	UpstreamTruncated   Code = 4004
	UpstreamShed        Code = 4005
	CallerGone          Code = 4006
)

var upstreamTable = []Info{
	{UpstreamUnreachable, "upstream_unreachable", "A connection to the upstream could not be established; the request was not run.", "Retry."},
	{UpstreamTimeout, "upstream_timeout", "The upstream did not respond before the deadline.", "Check whether the work was done before repeating it."},
	{UpstreamBroken, "upstream_broken", "The connection failed before the response headers were received.", "Check whether the work was done before repeating it."},
	{UpstreamTruncated, "upstream_truncated", "The upstream's response ended early; if the response to the caller had begun, the connection to the caller was closed.", "Retry reads; for other requests, check whether the work was done."},
	{UpstreamShed, "upstream_shed", "The upstream rejected the request without running it.", "Retry later."},
	{CallerGone, "caller_gone", "The caller closed its connection before the response was complete.", "None."},
}
