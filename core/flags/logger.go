package flags

import (
	"github.com/juju/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// LogLevels lists the levels that NewLogger accepts.
func LogLevels() []string {
	return []string{"debug", "info", "warn", "error"}
}

// NewLogger returns a zap production logger to standard error that writes level and above.
func NewLogger(level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Annotatef(err, "log level %q", level)
	}
	c := zap.NewProductionConfig()
	c.Level = zap.NewAtomicLevelAt(l)
	c.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	log, err := c.Build()
	return log, errors.Annotate(err, "opening the log")
}
