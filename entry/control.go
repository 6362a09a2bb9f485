package main

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/admin"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/core/wire"

	"go.uber.org/zap"
)

// handleAdvice passes the advice of the own steer to the lease holder.
func (p *process) handleAdvice(peer string, payload []byte) {
	if peer != *p.options.steer {
		return
	}
	var advice core.LeaseAdvice
	if err := wire.Decode(payload, &advice); err != nil {
		event.DocumentInvalid.Write(p.log, zap.String("peer", peer), zap.Error(err))
		return
	}
	p.holder.Advise(advice)
}

// routes adds the administration API of the entry process.
func (p *process) routes(r chi.Router) {
	r.Get("/explain", p.handleExplain)
}

func (p *process) handleExplain(w http.ResponseWriter, r *http.Request) {
	admin.WriteJSON(w, p.explain(r.URL.Query().Get("service"), r.URL.Query().Get("client")))
}
