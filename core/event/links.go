package event

import "go.uber.org/zap/zapcore"

// Events of links between processes (200 to 299).
var (
	LinkUp           = Info{200, zapcore.InfoLevel, "link up", "A connection to a peer is established; hello frames have been exchanged."}
	LinkDown         = Info{201, zapcore.InfoLevel, "link down", "A connection to a peer has ended; the error states the cause."}
	LinkUnresponsive = Info{202, zapcore.WarnLevel, "link unresponsive", "A connection received no data or could not send for the liveness timeout and is closed."}
	LinkBadToken     = Info{203, zapcore.ErrorLevel, "link token mismatch", "The shared token of the peer differs; the connection is closed. Check the token on both hosts."}
	LinkBadFrame     = Info{204, zapcore.WarnLevel, "link frame invalid", "A peer sent data that is not a valid frame; the connection is closed."}
	LinkDialFailed   = Info{205, zapcore.DebugLevel, "link dial failed", "A connection could not be established; the dial is retried after a jittered delay."}
	LinkLateReply    = Info{206, zapcore.DebugLevel, "link reply late", "A reply arrived for which no request is waiting; it is dropped."}
	LinkBusy         = Info{207, zapcore.WarnLevel, "link handlers busy", "A peer has too many requests in progress; the request is rejected with an error."}
	LinkAcceptFailed = Info{208, zapcore.ErrorLevel, "link accept failed", "The listener could not accept a connection; it retries."}
	LinkNoHandler    = Info{209, zapcore.WarnLevel, "link topic unknown", "A message or request arrived on a topic that this process does not handle."}
)

var linksTable = []Info{
	LinkUp, LinkDown, LinkUnresponsive, LinkBadToken, LinkBadFrame, LinkDialFailed, LinkLateReply, LinkBusy, LinkAcceptFailed, LinkNoHandler,
}
