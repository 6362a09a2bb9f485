package flags

// Exit codes of all programs.
const (
	ExitFailure = 1
	ExitUsage   = 2
)
