package links

import "github.com/juju/errors"

// reply is the reply to the request with the same id and attempt; a non-empty Error replaces the payload.
type reply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the msgpack package.

	Attempt int    `msgpack:"attempt"`
	Error   string `msgpack:"error"`
	ID      uint64 `msgpack:"id"`
	Payload []byte `msgpack:"payload"`
}

// Validate implements core.Validator.Validate.
func (r *reply) Validate() error {
	if r.Attempt < 1 {
		return errors.Errorf("attempt: %d, want at least 1", r.Attempt)
	}
	return nil
}
