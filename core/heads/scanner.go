package heads

import "bytes"

// Scanner counts the bytes and lines of a message head, which may arrive in parts. It stops at the empty line that ends the head.
type Scanner struct {
	// Bytes is the size of what was scanned, and Lines the number of its lines, including the first line and empty lines.
	Bytes int64
	Lines int64

	// begun means that a line that is not empty has been seen.
	begun bool
	ended bool
	// partial is the size of the line that has begun, without a carriage return at its end.
	partial int
}

// Ended reports whether the end of the head was scanned.
func (s *Scanner) Ended() bool { return s.ended }

// Scan counts data up to the end of the head.
func (s *Scanner) Scan(data []byte) {
	for !s.ended && len(data) > 0 {
		n := bytes.IndexByte(data, '\n')
		if n < 0 {
			s.Bytes += int64(len(data))
			s.partial += contentBytes(data)
			return
		}
		s.Bytes += int64(n) + 1
		s.Lines++
		empty := s.partial+contentBytes(data[:n]) == 0
		s.ended = empty && s.begun
		s.begun = s.begun || !empty
		s.partial = 0
		data = data[n+1:]
	}
}

// contentBytes returns the size of a part of a line without a carriage return at its end.
func contentBytes(part []byte) int {
	if n := len(part); n > 0 && part[n-1] == '\r' {
		return n - 1
	}
	return len(part)
}
