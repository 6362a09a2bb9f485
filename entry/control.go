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

// handleLeaseAdvice passes lease advice from the steer of this host to the lease holder.
func (p *process) handleLeaseAdvice(peer string, payload []byte) {
	if peer != *p.options.steerAddress {
		return
	}
	var advice core.LeaseAdvice
	if err := wire.Decode(payload, &advice); err != nil {
		event.DocumentInvalid.Write(p.log, zap.String("peer", peer), zap.Error(err))
		return
	}
	p.holder.Advise(advice)
}

// registerRoutes adds the entry process's own routes to the administration API.
func (p *process) registerRoutes(r chi.Router) {
	r.Get("/explain", p.handleExplain)
}

func (p *process) handleExplain(w http.ResponseWriter, r *http.Request) {
	admin.WriteJSON(w, p.explain(r.URL.Query().Get("service"), r.URL.Query().Get("client")))
}
