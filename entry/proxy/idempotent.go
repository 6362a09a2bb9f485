package proxy

import "net/http"

// Idempotent reports whether a request may run more than once, according to its route or, without a route, its method.
func (p *Proxy) Idempotent(in *http.Request) bool {
	req := &request{incoming: in}
	if snapshot := p.Settings.Current(); snapshot != nil && snapshot.Routes != nil {
		req.route, _ = snapshot.Routes.Find(hostName(in), in.URL.Path)
	}
	return req.idempotent()
}
