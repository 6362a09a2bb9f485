package event

import "go.uber.org/zap/zapcore"

// Events of documents spread between processes (1100 to 1199).
var (
	DocumentAccepted   = Info{1100, zapcore.InfoLevel, "document accepted", "A higher version of the settings or of an ownership document is in force in this process."}
	DocumentInvalid    = Info{1101, zapcore.WarnLevel, "document rejected", "A peer or the store sent a document that cannot be decoded; the old one stays in force."}
	DocumentPullFailed = Info{1102, zapcore.WarnLevel, "document pull failed", "An announced document could not be fetched; the periodic exchange tries again."}
	StoreLost          = Info{1103, zapcore.WarnLevel, "store unavailable", "Reads of the store fail; the process goes on with the documents it holds."}
	StoreBack          = Info{1104, zapcore.InfoLevel, "store available", "Reads of the store succeed again."}
)

var documentTable = []Info{DocumentAccepted, DocumentInvalid, DocumentPullFailed, StoreLost, StoreBack}
