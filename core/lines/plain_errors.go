package lines

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// plainErrors logs errors as a single string. Errors with a stack trace would otherwise be logged twice, the second time
// with the trace.
type plainErrors struct {
	zapcore.Core
}

// With implements zapcore.Core.With.
func (p plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{p.Core.With(plain(fields))}
}

// Check implements zapcore.Core.Check.
func (p plainErrors) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if p.Enabled(entry.Level) {
		return checked.AddCore(entry, p)
	}
	return checked
}

// Write implements zapcore.Core.Write.
func (p plainErrors) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return p.Core.Write(entry, plain(fields))
}

func plain(fields []zapcore.Field) []zapcore.Field {
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			fields[i] = zap.String(f.Key, err.Error())
		}
	}
	return fields
}
