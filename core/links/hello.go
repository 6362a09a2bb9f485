package links

import "github.com/juju/errors"

// hello is the body of the first frame that each end sends; Token is the shared token, or empty if none is configured.
type hello struct {
	Address string `msgpack:"address"`
	Token   string `msgpack:"token"`
	Version int    `msgpack:"version"`
}

// Validate implements core.Validator.Validate.
func (h *hello) Validate() error {
	if h.Version != protocolVersion {
		return errors.Errorf("version: %d, want %d", h.Version, protocolVersion)
	}
	if len(h.Address) > maxAddressBytes {
		return errors.Errorf("address: %d bytes, at most %d", len(h.Address), maxAddressBytes)
	}
	return nil
}
