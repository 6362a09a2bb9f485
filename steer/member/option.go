package member

import (
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
)

// Option sets an option of Members.
type Option func(*Members)

// WithLogger sets the logger of events.
func WithLogger(log *zap.Logger) Option {
	return func(m *Members) { m.log = log }
}

// WithOnChange sets the function that is called after each change of hosts or suspicions; it must not block.
func WithOnChange(onChange func(core.HostsUpdate)) Option {
	return func(m *Members) { m.onChange = onChange }
}

// WithStart sets the unique name of this process run.
func WithStart(start string) Option {
	return func(m *Members) { m.start = start }
}

// WithOnWritten sets the function that is called with each registration of this host that is in the store. Only then
// may its incarnation join the ownership document.
func WithOnWritten(onWritten func(core.Host)) Option {
	return func(m *Members) { m.onWritten = onWritten }
}
