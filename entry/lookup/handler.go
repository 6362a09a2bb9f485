package lookup

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
)

const millisPerSecond = 1000

// Handler returns the handler of GET /v1/lookup?service=&client=; client defaults to the remote address.
func (r *Ranker) Handler() http.Handler {
	return http.HandlerFunc(r.serve)
}

func (r *Ranker) serve(w http.ResponseWriter, q *http.Request) {
	query := q.URL.Query()
	client, err := clientAddress(query.Get("client"), q.RemoteAddr)
	if err != nil {
		fail(w, http.StatusBadRequest, codes.BadRequest, err)
		return
	}
	x := r.state.Load()
	if x == nil {
		fail(w, http.StatusServiceUnavailable, codes.NotReady, ErrNotReady)
		return
	}
	i, l, err := x.find(query.Get("service"), client)
	switch {
	case errors.Is(err, ErrUnknownService):
		fail(w, http.StatusNotFound, codes.UnknownService, err)
	case err != nil:
		fail(w, http.StatusServiceUnavailable, codes.NotReady, err)
	default:
		write(w, i, l)
	}
}

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

func fail(w http.ResponseWriter, status int, code codes.Code, cause error) {
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(core.HeaderCode, code.String())
	w.WriteHeader(status)
	// The caller has gone if this fails.
	_ = json.NewEncoder(w).Encode(map[string]any{"code": code, "text": cause.Error()})
}

// write sends the answer from its encoded pieces.
func write(w http.ResponseWriter, i *siteIndex, l *list) {
	const start = `{"hosts":`
	h := w.Header()
	h.Set("Cache-Control", "max-age="+strconv.FormatInt(i.answer.ValidMs/millisPerSecond, 10))
	h.Set("Content-Length", strconv.Itoa(len(start)+len(l.json)+len(i.tail)))
	h.Set("Content-Type", "application/json")
	h.Set(core.HeaderCode, codes.OK.String())
	// The caller has gone if one of these fails.
	_, _ = w.Write([]byte(start))
	_, _ = w.Write(l.json)
	_, _ = w.Write(i.tail)
}
