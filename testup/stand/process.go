package stand

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"
)

// Process is a set of targets with one control API.
type Process struct {
	targets []*Target
}

// Start starts one target per port.
func Start(config Config) (*Process, error) {
	p := &Process{}
	for _, port := range config.Ports {
		target, err := newTarget(config, port)
		if err != nil {
			_ = p.Close()
			return nil, err
		}
		p.targets = append(p.targets, target)
	}
	return p, nil
}

// Close stops all targets.
func (p *Process) Close() error {
	var errs []string
	for _, target := range p.targets {
		err := target.close()
		if err != nil {
			errs = append(errs, err.Error())
		}
	}
	if len(errs) > 0 {
		return errors.New(strings.Join(errs, "; "))
	}
	return nil
}

// ControlHandler returns the control API. POST /order/{target} sets the Behaviour in the body; target is an address, a
// port or all. GET /evidence returns the evidence, with ?runs=1 including the runs of each key. POST /reset resets all targets.
func (p *Process) ControlHandler() http.Handler {
	router := chi.NewRouter()
	router.Get("/evidence", p.serveEvidence)
	router.Post("/order/{target}", p.serveOrder)
	router.Post("/reset", p.serveReset)
	return router
}

// Targets returns the targets in the order of the ports.
func (p *Process) Targets() []*Target {
	return p.targets
}

func (p *Process) serveEvidence(w http.ResponseWriter, r *http.Request) {
	evidence := []Evidence{}
	for _, target := range p.targets {
		evidence = append(evidence, target.Evidence(r.URL.Query().Get("runs") == "1"))
	}
	writeJSON(w, http.StatusOK, evidence)
}

func (p *Process) serveOrder(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
	decoder.DisallowUnknownFields()
	var behaviour Behaviour
	err := decoder.Decode(&behaviour)
	if err != nil {
		http.Error(w, "behaviour: "+err.Error(), http.StatusBadRequest)
		return
	}
	name := chi.URLParam(r, "target")
	ordered := 0
	for _, target := range p.targets {
		if name == "all" || target.Address() == name || strings.HasSuffix(target.Address(), ":"+name) {
			target.SetBehaviour(behaviour)
			ordered++
		}
	}
	if ordered == 0 {
		http.Error(w, "no target named "+name, http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, map[string]int{"ordered": ordered})
}

func (p *Process) serveReset(w http.ResponseWriter, _ *http.Request) {
	for _, target := range p.targets {
		target.reset()
	}
	writeJSON(w, http.StatusOK, map[string]int{"reset": len(p.targets)})
}
