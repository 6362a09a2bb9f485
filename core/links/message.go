package links

import "github.com/juju/errors"

// message is a one-way message. This type, request and reply are encoded as arrays: field names were up to 28 bytes of each
// frame. A reader rejects arrays of another length, so a new field needs another protocol version.
type message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the msgpack package.

	Payload []byte `msgpack:"payload"`
	Topic   string `msgpack:"topic"`
}

// Validate implements core.Validator.Validate.
func (m *message) Validate() error {
	return checkTopic(m.Topic)
}

func checkTopic(topic string) error {
	if topic == "" || len(topic) > maxTopicBytes {
		return errors.Errorf("topic: %d bytes, want 1 to %d", len(topic), maxTopicBytes)
	}
	return nil
}
