package flags

import (
	"crypto/rand"
	"encoding/hex"
)

const incarnationBytes = 16

// NewIncarnation returns a random identifier of a process start, in hexadecimal.
func NewIncarnation() string {
	var b [incarnationBytes]byte
	// crypto/rand.Read never returns an error since Go 1.24.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
