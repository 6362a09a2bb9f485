package codes

// Results of the administration API (9000 to 9999).
const (
	Unauthorized   Code = 9001
	PeerUnanswered Code = 9002
)

var adminTable = []Info{
	{Unauthorized, "unauthorized", "The bearer token is missing or wrong.", "Use the token of the process settings."},
	{PeerUnanswered, "peer_unanswered", "A host did not respond to a status query within 2 s.", "Check the host and the link to it; its values are unknown."},
}
