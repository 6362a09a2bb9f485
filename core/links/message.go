package links

import "github.com/juju/errors"

// message is a one-way message. Like request and reply it is encoded as an array, because field names took up to 28 bytes
// of each frame. A decoder rejects arrays of another length, so adding a field requires a new protocol version.
type message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the msgpack package.

	Payload []byte `msgpack:"payload"`
	Topic   string `msgpack:"topic"`
}

// Validate implements core.Validator.Validate.
func (m *message) Validate() error {
	return checkTopic(m.Topic)
}

// checkTopic returns an error for an empty or too long topic.
func checkTopic(topic string) error {
	if topic == "" || len(topic) > maxTopicBytes {
		return errors.Errorf("topic: %d bytes, want 1 to %d", len(topic), maxTopicBytes)
	}
	return nil
}
