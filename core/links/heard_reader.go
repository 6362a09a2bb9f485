package links

import "io"

// heardReader notes the time of all bytes that arrive, so that a large frame on a slow path counts as a sign of life.
type heardReader struct {
	conn   *conn
	stream io.Reader
}

// Read implements io.Reader.Read.
func (h *heardReader) Read(b []byte) (int, error) {
	n, err := h.stream.Read(b)
	if n > 0 {
		h.conn.manager.counters.received.Add(int64(n))
		h.conn.heard.Store(int64(h.conn.manager.timer.Now()))
	}
	return n, err
}
