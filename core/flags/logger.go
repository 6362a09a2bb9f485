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

// NewLogger returns a zap production logger that writes events of level and above to standard error.
func NewLogger(level string) (*zap.Logger, error) {
	lowest, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Annotatef(err, "log level %q", level)
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(lowest)
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	log, err := config.Build()
	return log, errors.Annotate(err, "build logger")
}
