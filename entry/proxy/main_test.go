package proxy

import (
	"net/http"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines that outlive their requests.
func TestMain(m *testing.M) {
	code := m.Run()
	http.DefaultClient.CloseIdleConnections()
	if code == 0 {
		err := goleak.Find()
		if err != nil {
			_, _ = os.Stderr.WriteString(err.Error() + "\n")
			code = 1
		}
	}
	os.Exit(code)
}
