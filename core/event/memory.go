package event

import "go.uber.org/zap/zapcore"

// Events of the memory and the connections that a process holds for clients (630 to 634).
var (
	MemoryLimits       = Info{630, zapcore.InfoLevel, "memory limits", "The limits for callers and targets that derive from the memory and the descriptors of the host."}
	MemoryExhausted    = Info{631, zapcore.WarnLevel, "memory budget exhausted", "Requests or connections were refused as not run since the last line, because the process holds as much as its host permits."}
	ConnectionsRefused = Info{632, zapcore.WarnLevel, "connections refused", "A port has as many connections as its limit, or request heads were refused; the field counts them since the last line."}
	ConnectionsEvicted = Info{633, zapcore.WarnLevel, "connections closed for others", "A port had as many connections as its limit; those that made the process wait for longest were closed."}
)

var memoryTable = []Info{MemoryLimits, MemoryExhausted, ConnectionsRefused, ConnectionsEvicted}
