package codes

// Results of process start and stop (8000 to 8999).
const (
	InvalidFlags     Code = 8001
	ClockUnavailable Code = 8002
	ListenFailed     Code = 8004
	NoSettings       Code = 8005
	StopInterrupted  Code = 8006
)

var startupTable = []Info{
	{InvalidFlags, "invalid_flags", "Flags or EBONY_ variables are missing or malformed; each error is listed.", "Correct every listed setting and start again."},
	{ClockUnavailable, "clock_unavailable", "The kernel has no readable boot-time clock.", "Run on a Linux kernel with CLOCK_BOOTTIME."},
	{ListenFailed, "listen_failed", "An address could not be bound; the error text names it.", "Free the address or change the flag."},
	{NoSettings, "no_settings", "Neither the store nor a peer supplied settings, so the process is not ready.", "Check the store and the peer addresses."},
	{StopInterrupted, "stop_interrupted", "Requests were still in flight when the stop ended because of its time limit or a second signal.", "Allow more drain time; event 102 states how many were interrupted."},
}
