package event

import "go.uber.org/zap/zapcore"

// Events of idempotency records (700 to 799).
var (
	DedupOutcomeUnknown = Info{700, zapcore.WarnLevel, "outcome of idempotency write unknown", "The response of the store was lost; the shard is read again and the operations of the write are decided on its current content."}
	DedupReleased       = Info{701, zapcore.InfoLevel, "idempotency record released", "It was unknown whether an attempt that never ran had been recorded; now it owns no record."}
	DedupDropped        = Info{702, zapcore.ErrorLevel, "idempotency outcomes dropped", "The store was unavailable for too long to keep the outcomes; their keys are reported as possibly run."}
	DedupFallback       = Info{703, zapcore.InfoLevel, "preferred writer of idempotency records did not respond", "The call is retried at the local writer; the store decides which of the calls owns the record."}
	DedupLayout         = Info{704, zapcore.ErrorLevel, "idempotency records have a different layout", "Keyed requests of the service are rejected until its records are migrated; otherwise a keyed request could run twice."}
)

var dedupTable = []Info{DedupOutcomeUnknown, DedupReleased, DedupDropped, DedupFallback, DedupLayout}
