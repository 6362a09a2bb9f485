package codes

// Results of successful requests (1000 to 1999) and of requests that the caller must correct (2000 to 2999).
const (
	OK              Code = 1000
	UnknownService  Code = 2001
	BadRequest      Code = 2002
	BodyTooLarge    Code = 2003
	BadDeadline     Code = 2004
	TooManyHops     Code = 2005
	UnknownEndpoint Code = 2006
	UnknownRoute    Code = 2007
	UnknownKey      Code = 2008
)

var callerTable = []Info{
	{OK, "ok", "An upstream responded to the request.", "None."},
	{UnknownService, "unknown_service", "No service has this name or Host name.", "Correct Ebony-Service or the Host name."},
	{BadRequest, "bad_request", "A header or parameter is malformed; the error text names it.", "Correct the request."},
	{BodyTooLarge, "body_too_large", "The body exceeds request_body_bytes of the service.", "Send a smaller body."},
	{BadDeadline, "bad_deadline", "Ebony-Deadline-Ms is not a positive number of milliseconds.", "Correct the header."},
	{TooManyHops, "too_many_hops", "The request was relayed more often than permitted.", "Report it: the ownership documents of the hosts disagree."},
	{UnknownEndpoint, "unknown_endpoint", "No resource of this process has this path.", "Correct the path."},
	{UnknownRoute, "unknown_route", "No route of the Host name matches the path.", "Correct the path, or add a route."},
	{UnknownKey, "unknown_key", "The route requires an API key, and the request has none that is known.", "Send a valid API key."},
}
