package member

import (
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
)

// Option changes one property of Members.
type Option func(*Members)

// WithLogger sets the logger of events.
func WithLogger(log *zap.Logger) Option {
	return func(m *Members) { m.log = log }
}

// WithOnChange sets the function that is told every change of hosts or suspicions; it must not block.
func WithOnChange(onChange func(core.HostsUpdate)) Option {
	return func(m *Members) { m.onChange = onChange }
}

// WithStart sets the unique name of this run of the process.
func WithStart(start string) Option {
	return func(m *Members) { m.start = start }
}

// WithOnWritten sets the function that is told each registration of this host that is in the store. Its incarnation
// may join the ownership document only then.
func WithOnWritten(onWritten func(core.Host)) Option {
	return func(m *Members) { m.onWritten = onWritten }
}
