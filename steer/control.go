package main

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/admin"
	"ebonyrouter.dev/core/codes"
)

// routes registers the administration API of the steer process.
func (p *process) routes(r chi.Router) {
	r.Get("/hosts", p.handleHosts)
	r.Get("/ownership", p.handleOwnership)
	r.Get("/settings", p.handleSettings)
	r.Get("/status", p.handleStatus)
}

func (p *process) handleHosts(w http.ResponseWriter, _ *http.Request) {
	admin.WriteJSON(w, p.members.All())
}

func (p *process) handleOwnership(w http.ResponseWriter, r *http.Request) {
	region := r.URL.Query().Get("region")
	if region == "" {
		region = *p.options.Region
	}
	d, ok := p.keeper.Document(core.KeyOwnershipPrefix + region)
	if !ok {
		admin.WriteProblem(w, http.StatusNotFound, codes.UnknownEndpoint, "no ownership document of region "+region)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(d.Content)
}

func (p *process) handleSettings(w http.ResponseWriter, _ *http.Request) {
	snapshot := p.settings.Current()
	if snapshot == nil {
		admin.WriteProblem(w, http.StatusServiceUnavailable, codes.NoSettings, "no settings in force")
		return
	}
	admin.WriteJSON(w, core.SettingsView{Head: snapshot.Head, Settings: snapshot.Settings})
}

func (p *process) handleStatus(w http.ResponseWriter, r *http.Request) {
	admin.WriteJSON(w, p.reporter.Fleet(r.Context()))
}
