package event

import "go.uber.org/zap/zapcore"

// Events of documents distributed between processes (1100 to 1199).
var (
	DocumentAccepted   = Info{1100, zapcore.InfoLevel, "document accepted", "This process has adopted a higher version of the settings or of an ownership document."}
	DocumentInvalid    = Info{1101, zapcore.WarnLevel, "document rejected", "A document or control message from a peer or the store cannot be used and is ignored; the previous version of a document stays in force."}
	DocumentPullFailed = Info{1102, zapcore.WarnLevel, "document pull failed", "An announced document could not be fetched; the periodic synchronization retries."}
	StoreUnavailable   = Info{1103, zapcore.WarnLevel, "store unavailable", "Reads from the store fail; the process continues with the documents that it has."}
	StoreAvailable     = Info{1104, zapcore.InfoLevel, "store available", "Reads from the store succeed again."}
	StoreResponseLost  = Info{1105, zapcore.WarnLevel, "response of the store lost", "Objects of the kind have changed after the given revision, and the watch that waited for it got no response; it is repeated at once."}
)

var documentTable = []Info{DocumentAccepted, DocumentInvalid, DocumentPullFailed, StoreUnavailable, StoreAvailable, StoreResponseLost}
