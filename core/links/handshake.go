package links

import (
	"crypto/sha256"
	"crypto/subtle"

	"github.com/juju/errors"

	"ebonyrouter.dev/core/wire"
)

const (
	// errBadFrame means that the peer violated the protocol.
	errBadFrame = errors.ConstError("invalid frame")
	// errBadToken means that the peer's token differs from the shared token of this process.
	errBadToken = errors.ConstError("wrong token")
)

const (
	// maxHelloBytes limits how much an unauthenticated peer can make this process read.
	maxHelloBytes   = 4096
	maxAddressBytes = 64
	maxTopicBytes   = 64
	protocolVersion = 3
)

// handshake exchanges hello frames; the accepting end sends its hello only after the peer has presented the right token.
func (c *conn) handshake(r *wire.Reader, w *wire.Writer) error {
	if c.dialled != "" {
		if err := c.sendHello(w); err != nil {
			return errors.Trace(err)
		}
	}
	if err := c.readHello(r); err != nil {
		return errors.Trace(err)
	}
	if c.dialled == "" {
		return errors.Trace(c.sendHello(w))
	}
	return nil
}

func (c *conn) sendHello(w *wire.Writer) error {
	f, err := encode(wire.KindHello, &hello{Address: c.manager.advertised, Token: c.manager.token, Version: protocolVersion})
	if err != nil {
		return errors.Trace(err)
	}
	if err := w.Write(f); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(w.Flush())
}

func (c *conn) readHello(r *wire.Reader) error {
	r.SetLimit(maxHelloBytes)
	defer r.SetLimit(wire.MaxBodyBytes)
	f, err := r.Read()
	if err != nil {
		return errors.Trace(err)
	}
	if f.Kind != wire.KindHello {
		return errors.Annotatef(errBadFrame, "kind %d before hello", f.Kind)
	}
	var h hello
	if err := wire.Decode(f.Body, &h); err != nil {
		return errors.Annotate(errBadFrame, err.Error())
	}
	if !sameToken(h.Token, c.manager.token) {
		return errors.Annotatef(errBadToken, "peer %q", h.Address)
	}
	c.peer = h.Address
	if c.peer == "" {
		c.peer = c.socket.RemoteAddr().String()
	}
	return nil
}

// sameToken compares digests in constant time, so that the duration reveals neither content nor length of the token.
func sameToken(a, b string) bool {
	x := sha256.Sum256([]byte(a))
	y := sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

// encode returns the frame of kind with the encoded v; the error is wire.ErrTooLarge if the body exceeds the limit.
func encode(kind wire.Kind, v any) (wire.Frame, error) {
	b, err := wire.Encode(v)
	if err != nil {
		return wire.Frame{}, errors.Trace(err)
	}
	if len(b) > wire.MaxBodyBytes {
		return wire.Frame{}, errors.Annotatef(wire.ErrTooLarge, "body of %d bytes", len(b))
	}
	return wire.Frame{Body: b, Kind: kind}, nil
}
