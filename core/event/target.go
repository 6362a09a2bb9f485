package event

import "go.uber.org/zap/zapcore"

// Events of registered targets and hosts (1200 to 1299).
var (
	TargetChanged = Info{1200, zapcore.InfoLevel, "target changed", "A target was registered, restarted or began to drain; the change applies to requests at once."}
	TargetRemoved = Info{1201, zapcore.InfoLevel, "target removed", "The registration of a target was removed; the target receives no new requests."}
	TargetStale   = Info{1202, zapcore.WarnLevel, "target registration older than the known one", "A registration from an earlier start of the target, or with a lower sequence number of the same start, was ignored."}
	ZoneInvalid   = Info{635, zapcore.WarnLevel, "drained zone invalid", "An entry of a drained zone is not named after a known availability zone and is ignored. It is logged once until it changes."}
	TargetPaused  = Info{636, zapcore.InfoLevel, "target asked for a pause", "A response of the target said that it is leaving, or refused a request for a time; this host sends it nothing new until it starts again or the time has passed."}
	TargetInvalid = Info{1203, zapcore.WarnLevel, "target registration invalid", "The registration of a target is not complete and valid, so the target is not used. The error names the field; the entry is logged once until it changes."}
	ZoneDrained   = Info{1204, zapcore.InfoLevel, "availability zone drained or restored", "The targets of a drained zone receive no new requests."}
	HostListed    = Info{1205, zapcore.InfoLevel, "host listed", "An entry host has registered or changed its registration; lookups return it while its link is alive."}
	HostUnlisted  = Info{1206, zapcore.InfoLevel, "host unlisted", "The registration of an entry host was removed, or its link address has changed."}
	HostInvalid   = Info{1207, zapcore.WarnLevel, "host registration invalid", "The registration of a host is not complete and valid and is ignored. The error names the field; the entry is logged once until it changes."}
)

var targetTable = []Info{
	TargetChanged, TargetRemoved, TargetStale, ZoneInvalid, TargetPaused, TargetInvalid, ZoneDrained, HostListed, HostUnlisted, HostInvalid,
}
