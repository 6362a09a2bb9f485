package wire

import (
	"bytes"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"

	"ebonyrouter.dev/core"
)

// Decode decodes a msgpack body into the value that v points to and validates it if it is a core.Validator. Unknown fields
// are ignored, so that processes of different versions are compatible.
func Decode(body []byte, v any) error {
	if err := checkShape(body); err != nil {
		return errors.Trace(err)
	}
	d := msgpack.GetDecoder()
	defer msgpack.PutDecoder(d)
	d.Reset(bytes.NewReader(body))
	if err := d.Decode(v); err != nil {
		return errors.Annotatef(err, "decoding %T", v)
	}
	if c, ok := v.(core.Validator); ok {
		return errors.Annotatef(c.Validate(), "validating %T", v)
	}
	return nil
}

// Encode returns the msgpack encoding of v, whose fields have snake_case msgpack tags.
func Encode(v any) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(&b)
	e.UseCompactInts(true)
	if err := e.Encode(v); err != nil {
		return nil, errors.Annotatef(err, "encoding %T", v)
	}
	return b.Bytes(), nil
}
