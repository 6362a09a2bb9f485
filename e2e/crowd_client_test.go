package e2e_test

import (
	"bytes"
	"io"
	"strings"
	"time"
)

// crowdHeadBytes is the size of a legal head with very many lines. The limit of the host is 64 KiB.
const crowdHeadBytes = 60 << 10

// client writes what one client sends on one connection. It ends with the connection.
type client func(conn io.Writer)

// repeat returns a client that sends a start and then the same bytes without end.
func repeat(start, endless string) client {
	block := []byte(strings.Repeat(endless, 1+4096/len(endless)))
	return func(conn io.Writer) {
		_, err := io.WriteString(conn, start)
		for err == nil {
			_, err = conn.Write(block)
		}
	}
}

// once returns a client that sends bytes a number of times and then waits for the end of the connection.
func once(text []byte, count int) client {
	return func(conn io.Writer) {
		for range count {
			if _, err := conn.Write(text); err != nil {
				return
			}
		}
		trickle("", "")(conn)
	}
}

// trickle returns a client that sends a start and then repeats some bytes, 100 ms apart.
func trickle(start, endless string) client {
	return func(conn io.Writer) {
		_, err := io.WriteString(conn, start)
		for n := 0; err == nil; n++ {
			time.Sleep(100 * time.Millisecond)
			text := ""
			if endless != "" {
				text = endless[n%len(endless) : n%len(endless)+1]
			}
			_, err = io.WriteString(conn, text)
		}
	}
}

// crowdLine is the request line and the host of all requests.
const crowdLine = "GET /r/x HTTP/1.1\r\nHost: a.example\r\n"

// manyLines returns a head of size bytes without its end. The lines have n different names.
func manyLines(size, n int, value string) string {
	const letters = "abcdefghijklmnopqrstuvwxyz!#$%&'*"
	var b bytes.Buffer
	b.WriteString(crowdLine)
	for i := 0; b.Len() < size; i++ {
		for k := i % n; ; k /= len(letters) {
			b.WriteByte(letters[k%len(letters)])
			if k < len(letters) {
				break
			}
		}
		b.WriteString(":" + value + "\r\n")
	}
	return b.String()
}

// legal returns a legal request of which the head has very many lines.
func legal(n int, value string) []byte {
	return []byte(manyLines(crowdHeadBytes, n, value) + "\r\n")
}
