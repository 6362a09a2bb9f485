package proxy

// recorder keeps a copy of a response body of up to limit bytes; nil keeps nothing.
type recorder struct {
	body     []byte
	limit    int64
	overflow bool
}

// needsRest reports whether the rest of the response is still of use when the caller has gone.
func (r *recorder) needsRest() bool {
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
