package codes

// Failures after a request may have reached an upstream (4000 to 4999).
const (
	UpstreamUnreachable Code = 4001
	UpstreamTimeout     Code = 4002
	UpstreamBroken      Code = 4003
	UpstreamTruncated   Code = 4004
	UpstreamShed        Code = 4005
	CallerGone          Code = 4006
)

var upstreamTable = []Info{
	{UpstreamUnreachable, "upstream_unreachable", "No connection to the upstream could be made; the request was not run.", "Retry."},
	{UpstreamTimeout, "upstream_timeout", "The upstream did not answer before the deadline.", "Check whether the work was done before repeating it."},
	{UpstreamBroken, "upstream_broken", "The connection failed before the response headers.", "Check whether the work was done before repeating it."},
	{UpstreamTruncated, "upstream_truncated", "The upstream's response ended early; the connection to the caller was closed.", "Repeat reads; check other work."},
	{UpstreamShed, "upstream_shed", "The upstream rejected the request as not run.", "Retry later."},
	{CallerGone, "caller_gone", "The caller closed its connection before the response was complete.", "None."},
}
