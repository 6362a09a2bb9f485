package lines

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxTextBytes bounds the encoded text of a field.
	maxTextBytes = 512
	// MaxErrorBytes bounds the encoded text of an error in a line and in a response, in bytes. Clients choose a part of it.
	MaxErrorBytes = 1024
	// escapedBytes is the size of a character that encoding/json does not write as it is.
	escapedBytes = 6
)

// shortFields bounds the text of fields and logs errors as a single string. Errors with a stack trace would otherwise be logged twice,
// the second time with the trace.
type shortFields struct {
	zapcore.Core
}

// With implements zapcore.Core.With.
func (s shortFields) With(fields []zapcore.Field) zapcore.Core {
	return shortFields{s.Core.With(short(fields))}
}

// Check implements zapcore.Core.Check.
func (s shortFields) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if s.Enabled(entry.Level) {
		return checked.AddCore(entry, s)
	}
	return checked
}

// Write implements zapcore.Core.Write.
func (s shortFields) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return s.Core.Write(entry, short(fields))
}

func short(fields []zapcore.Field) []zapcore.Field {
	for i, f := range fields {
		switch f.Type {
		case zapcore.ErrorType:
			if err, ok := f.Interface.(error); ok {
				fields[i] = zap.String(f.Key, Shorten(err.Error(), MaxErrorBytes))
			}
		case zapcore.StringType:
			fields[i].String = Shorten(f.String, maxTextBytes)
		default:
		}
	}
	return fields
}

// Shorten cuts a text of which the encoding as JSON takes more than limit bytes, and states the size of the whole text.
func Shorten(text string, limit int) string {
	if len(text)*escapedBytes <= limit {
		return text
	}
	size := 0
	for i, r := range text {
		switch {
		case r < ' ', strings.ContainsRune("<>&\u2028\u2029\uFFFD", r):
			size += escapedBytes
		case r == '"', r == '\\':
			size += 2
		default:
			size += utf8.RuneLen(r)
		}
		if size > limit {
			return fmt.Sprintf("%s... (%d bytes)", text[:i], len(text))
		}
	}
	return text
}
