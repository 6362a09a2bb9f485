package event

import "go.uber.org/zap/zapcore"

// Events of look-ups (800 to 899).
var (
	LookupNotRanked     = Info{800, zapcore.ErrorLevel, "look-ups not ranked", "The hosts could not be ranked; the previous ranking stays in use."}
	LookupBlocksInUse   = Info{801, zapcore.InfoLevel, "client blocks in use", "A version of the client block map was read and is in use; no version means that the settings name none."}
	LookupBlocksInvalid = Info{802, zapcore.ErrorLevel, "client blocks invalid", "The client block map could not be read; the previous one stays in use. The error names the part and the entry."}
)

var lookupTable = []Info{LookupNotRanked, LookupBlocksInUse, LookupBlocksInvalid}
