package event

import "go.uber.org/zap/zapcore"

// Events of the proof that settings are current (614 to 619).
var (
	KeysRefused      = Info{614, zapcore.WarnLevel, "requests with a key refused", "This host cannot prove that its settings are current; it refuses requests with a key as not run. The fields are the age of its proof, the newest revision that is known and the one in force."}
	KeysAccepted     = Info{615, zapcore.InfoLevel, "requests with a key accepted again", "This host can prove again that its settings are current."}
	ProofFailed      = Info{616, zapcore.WarnLevel, "proof of current settings not obtained", "Neither the readers of the region nor the store gave a recent proof; the reasons name them. All are tried again after a delay; only the first failure in a row is logged."}
	SettingsOutdated = Info{617, zapcore.WarnLevel, "newer settings exist than those in force", "A proof names settings that this host does not have; it reads the settings at once and refuses requests with a key until it has them."}
	StoreRestored    = Info{618, zapcore.WarnLevel, "store restored from an older copy", "A response of the store has a higher era than those before. All objects are listed again and the registration of this host is written again."}
)

var proofTable = []Info{KeysRefused, KeysAccepted, ProofFailed, SettingsOutdated, StoreRestored}
