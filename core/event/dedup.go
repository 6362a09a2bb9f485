package event

import "go.uber.org/zap/zapcore"

// Events of idempotency records (700 to 799).
var (
	DedupUncertain = Info{700, zapcore.WarnLevel, "outcome of idempotency write unknown", "The answer of the store was lost; the shard is read back and the write is decided again."}
	DedupReleased  = Info{701, zapcore.InfoLevel, "idempotency record released", "An attempt that never ran could not tell at once whether it was recorded; now it holds no record."}
	DedupDropped   = Info{702, zapcore.ErrorLevel, "idempotency outcomes dropped", "The store was away for so long that outcomes could not be kept; their keys are reported as possibly run."}
	DedupFallback  = Info{703, zapcore.InfoLevel, "preferred writer of idempotency records did not answer", "The call was repeated locally; the store decides which try holds the record."}
	DedupLayout    = Info{704, zapcore.ErrorLevel, "idempotency records have another layout", "Keyed requests of the service are rejected until its records are migrated; using them could run a key twice."}
)

var dedupTable = []Info{DedupUncertain, DedupReleased, DedupDropped, DedupFallback, DedupLayout}
