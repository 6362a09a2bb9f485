package links

import "io"

// activityReader records when bytes arrive. A large frame on a slow path thus keeps its connection alive before it is
// complete.
type activityReader struct {
	conn   *conn
	stream io.Reader
}

// Read implements io.Reader.Read.
func (a *activityReader) Read(b []byte) (int, error) {
	n, err := a.stream.Read(b)
	if n > 0 {
		a.conn.manager.counters.received.Add(int64(n))
		a.conn.lastReceived.Store(int64(a.conn.manager.timer.Now()))
	}
	return n, err
}
