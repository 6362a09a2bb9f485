package lines

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// linesPerSecond limits the lines with the same level and message that are written per second. A host serves at most about
// as many requests per second.
const linesPerSecond = 500

// Log is a logger with a limited rate of lines.
type Log struct {
	*zap.Logger
	sampled atomic.Int64
	writer  *Writer
}

// NewLog returns a logger that writes events of level and above to out as JSON lines.
func NewLog(level string, out io.Writer) (*Log, error) {
	enabled, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Annotatef(err, "log level %q", level)
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	l := &Log{writer: NewWriter(out)}
	core := shortFields{zapcore.NewCore(zapcore.NewJSONEncoder(config), l.writer, enabled)}
	l.Logger = zap.New(zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, 0, zapcore.SamplerHook(l.countSampled)))
	return l, nil
}

// Dropped returns the number of lines that were dropped because of the rate limit or because they could not be written.
func (l *Log) Dropped() int64 {
	return l.sampled.Load() + l.writer.Dropped()
}

func (l *Log) countSampled(_ zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped != 0 {
		l.sampled.Add(1)
	}
}
