package wire

import (
	"encoding/binary"

	"github.com/juju/errors"
)

// maxDepth limits the nesting of a body. The msgpack decoder recurses for each level, and a body of 1 MiB could nest a
// million levels and use hundreds of MB of stack.
const maxDepth = 32

// checkShape returns an error unless body is exactly one complete msgpack value that nests at most maxDepth levels.
func checkShape(body []byte) error {
	// pending counts the elements that are still to be read at each level.
	var pending [maxDepth]int
	depth := 0
	pending[0] = 1
	offset := 0
	for depth >= 0 {
		if pending[depth] == 0 {
			depth--
			continue
		}
		pending[depth]--
		size, children, err := element(body[offset:])
		if err != nil {
			return errors.Annotatef(err, "msgpack value at byte %d", offset)
		}
		offset += size
		if children == 0 {
			continue
		}
		if depth++; depth == maxDepth {
			return errors.Errorf("msgpack value at byte %d: nested deeper than %d levels", offset, maxDepth)
		}
		pending[depth] = children
	}
	if offset != len(body) {
		return errors.Errorf("%d bytes after the msgpack value", len(body)-offset)
	}
	return nil
}

// element returns the size in bytes of the first element of b without its children, and the number of its children.
func element(b []byte) (size, children int, err error) {
	if len(b) == 0 {
		return 0, 0, errors.New("missing")
	}
	switch c := b[0]; {
	case c <= 0x7f, c >= 0xe0, c == 0xc0, c == 0xc2, c == 0xc3:
		size = 1
	case c <= 0x8f:
		size, children = 1, 2*int(c&0xf)
	case c <= 0x9f:
		size, children = 1, int(c&0xf)
	case c <= 0xbf:
		size = 1 + int(c&0x1f)
	case c == 0xc1:
		return 0, 0, errors.New("reserved code 0xc1")
	default:
		size, children, err = longElement(c, b[1:])
	}
	if err == nil && size > len(b) || children > len(b)-size {
		err = errors.New("truncated")
	}
	return size, children, err
}

// longElement handles the codes 0xc4 to 0xdf; b starts after the code c.
func longElement(c byte, b []byte) (size, children int, err error) {
	l := layouts[c-0xc4]
	if l.lengthBytes > len(b) {
		return 0, 0, errors.New("truncated")
	}
	length := 0
	switch l.lengthBytes {
	case 1:
		length = int(b[0])
	case 2:
		length = int(binary.BigEndian.Uint16(b))
	case 4:
		length = int(binary.BigEndian.Uint32(b))
	}
	return 1 + l.lengthBytes + l.fixedBytes + length*l.bytesPer, length * l.childrenPer, nil
}
