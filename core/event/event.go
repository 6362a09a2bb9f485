package event

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// ID is the number of a log event; docs/LOG-EVENTS.md lists all of them.
type ID int

// Info describes one event. Meaning is the explanation in docs/LOG-EVENTS.md.
type Info struct {
	ID      ID
	Level   zapcore.Level
	Message string
	Meaning string
}

// All returns all events in the order of docs/LOG-EVENTS.md.
func All() []Info {
	var all []Info
	for _, table := range [][]Info{
		processTable, linksTable, settingsTable, leaseTable, memberTable, requestTable, memoryTable, proofTable, dedupTable, lookupTable, adminTable, storeTable, documentTable, targetTable,
	} {
		all = append(all, table...)
	}
	return all
}

// Write logs the event with the given fields and its number.
func (i Info) Write(log *zap.Logger, fields ...zap.Field) {
	entry := log.Check(i.Level, i.Message)
	if entry == nil {
		return
	}
	entry.Write(append(fields, zap.Int("event", int(i.ID)))...)
}
