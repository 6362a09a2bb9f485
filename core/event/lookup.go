package event

import "go.uber.org/zap/zapcore"

// Events of lookups (800 to 899).
var (
	LookupRankingFailed = Info{800, zapcore.ErrorLevel, "ranking of entry hosts failed", "The entry hosts could not be ranked for lookups; the previous ranking stays in use."}
	LookupBlocksInUse   = Info{801, zapcore.InfoLevel, "client blocks in use", "A version of the client block map is now in use; an empty version means that the settings name no map."}
	LookupBlocksInvalid = Info{802, zapcore.ErrorLevel, "client blocks invalid", "The client block map could not be read; the previous one stays in use. The error states the part and the entry."}
)

var lookupTable = []Info{LookupRankingFailed, LookupBlocksInUse, LookupBlocksInvalid}
