package access

import (
	"net/http"
	"strings"
)

// scheme is the authentication scheme of API keys, with the space that follows it.
const scheme = "Bearer "

// key returns the API key of a request, or false if the Authorization header is missing, occurs more than once or has another scheme.
// With two headers it would be open which of the keys counts.
func key(header http.Header) (string, bool) {
	values := header["Authorization"]
	if len(values) != 1 {
		return "", false
	}
	value := values[0]
	if len(value) <= len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) {
		return "", false
	}
	text := strings.TrimSpace(value[len(scheme):])
	return text, text != ""
}
