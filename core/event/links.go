package event

import "go.uber.org/zap/zapcore"

// Events of links between processes (200 to 299).
var (
	LinkUp           = Info{200, zapcore.InfoLevel, "link up", "A connection to a peer has exchanged hello frames."}
	LinkDown         = Info{201, zapcore.InfoLevel, "link down", "A connection to a peer has ended; the error names the cause."}
	LinkSilent       = Info{202, zapcore.WarnLevel, "link silent", "A connection was silent or stuck for the liveness timeout and is closed."}
	LinkBadToken     = Info{203, zapcore.ErrorLevel, "link token wrong", "The peer's shared token differs; the connection is closed. Check the token of both hosts."}
	LinkBadFrame     = Info{204, zapcore.WarnLevel, "link frame invalid", "A peer sent bytes that are no valid frame; the connection is closed."}
	LinkDialFailed   = Info{205, zapcore.DebugLevel, "link dial failed", "No connection could be made; it is tried again after a jittered wait."}
	LinkLateReply    = Info{206, zapcore.DebugLevel, "link reply late", "A reply arrived that no request waits for; it is dropped."}
	LinkBusy         = Info{207, zapcore.WarnLevel, "link handlers busy", "A peer has too many requests in progress; the request is answered with an error."}
	LinkAcceptFailed = Info{208, zapcore.ErrorLevel, "link accept failed", "The listener could not accept a connection; it is tried again."}
	LinkNoHandler    = Info{209, zapcore.WarnLevel, "link topic unknown", "A message or request arrived on a topic that this process does not handle."}
)

var linksTable = []Info{
	LinkUp, LinkDown, LinkSilent, LinkBadToken, LinkBadFrame, LinkDialFailed, LinkLateReply, LinkBusy, LinkAcceptFailed, LinkNoHandler,
}
