package lookup

import (
	"net/http"
	"net/netip"
	"strconv"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/admin"
	"ebonyrouter.dev/core/codes"
)

const millisPerSecond = 1000

// Handler returns the HTTP handler of GET /v1/lookup?service=&client=. The client defaults to the remote address.
func (r *Ranker) Handler() http.Handler {
	return http.HandlerFunc(r.serve)
}

func (r *Ranker) serve(w http.ResponseWriter, q *http.Request) {
	query := q.URL.Query()
	client, err := clientAddress(query.Get("client"), q.RemoteAddr)
	if err != nil {
		writeError(w, http.StatusBadRequest, codes.BadRequest, err)
		return
	}
	st := r.state.Load()
	if st == nil {
		writeError(w, http.StatusServiceUnavailable, codes.NotReady, ErrNotReady)
		return
	}
	rankings, list, err := st.find(query.Get("service"), client)
	switch {
	case errors.Is(err, ErrUnknownService):
		writeError(w, http.StatusNotFound, codes.UnknownService, err)
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, codes.NotReady, err)
	default:
		writeResponse(w, rankings, list)
	}
}

// clientAddress parses the client parameter or, if it is empty, the remote address.
func clientAddress(client, remote string) (netip.Addr, error) {
	if client == "" {
		a, err := netip.ParseAddrPort(remote)
		return a.Addr(), errors.Annotate(err, "remote address")
	}
	a, err := netip.ParseAddr(client)
	if err != nil {
		return netip.Addr{}, errors.Errorf("client %q is not an IP address", client)
	}
	return a, nil
}

// writeError sends a code and the text of an error as JSON.
func writeError(w http.ResponseWriter, status int, code codes.Code, cause error) {
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set(core.HeaderCode, code.String())
	admin.WriteProblem(w, status, code, cause.Error())
}

// writeResponse sends the response, whose parts are already encoded as JSON.
func writeResponse(w http.ResponseWriter, s *siteRankings, l *hostList) {
	const start = `{"hosts":`
	h := w.Header()
	h.Set("Cache-Control", "max-age="+strconv.FormatInt(s.response.ValidMs/millisPerSecond, 10))
	h.Set("Content-Length", strconv.Itoa(len(start)+len(l.json)+len(s.jsonTail)))
	h.Set("Content-Type", "application/json")
	h.Set(core.HeaderCode, codes.OK.String())
	// An error means that the client has disconnected.
	_, _ = w.Write([]byte(start))
	_, _ = w.Write(l.json)
	_, _ = w.Write(s.jsonTail)
}
