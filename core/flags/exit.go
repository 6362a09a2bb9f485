package flags

// Exit codes that all programs share.
const (
	ExitFailure = 1
	ExitUsage   = 2
)
