package pubsub

import "github.com/juju/errors"

const maxUUIDBytes = 64

// envelope is the encoding of a watermill message in the payload of a link message. It is an array, which takes 20 bytes
// less than a map.
type envelope struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the msgpack package.

	Metadata map[string]string `msgpack:"metadata"`
	Payload  []byte            `msgpack:"payload"`
	UUID     string            `msgpack:"uuid"`
}

// Validate implements core.Validator.Validate.
func (e *envelope) Validate() error {
	if len(e.UUID) > maxUUIDBytes {
		return errors.Errorf("uuid: %d bytes, at most %d", len(e.UUID), maxUUIDBytes)
	}
	return nil
}
