package proxy

// recorder keeps a copy of a response body if it has at most limit bytes. A nil recorder keeps nothing.
type recorder struct {
	body     []byte
	limit    int64
	overflow bool
}

// needsFullBody reports whether the response must be read to its end even if the caller has disconnected.
func (r *recorder) needsFullBody() bool {
	return r != nil && !r.overflow
}

func (r *recorder) write(data []byte) {
	if r == nil || r.overflow {
		return
	}
	if int64(len(r.body)+len(data)) > r.limit {
		r.overflow = true
		r.body = nil
		return
	}
	r.body = append(r.body, data...)
}
