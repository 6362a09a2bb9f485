package flags

import (
	"os"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core/lines"
)

// LogLevels lists the levels that NewLogger accepts.
func LogLevels() []string {
	return []string{"debug", "info", "warn", "error"}
}

// NewLogger returns a logger that writes events of level and above to standard error, at a limited rate and without blocking. Its Sync waits
// until they are written.
func NewLogger(level string) (*zap.Logger, error) {
	log, err := lines.NewLog(level, os.Stderr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return log.Logger, nil
}
