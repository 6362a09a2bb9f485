package core

import "strings"

// RoutePlan finds the route of a request. It is built once per snapshot.
type RoutePlan struct {
	byHost map[string][]*RouteSettings
}

// NewRoutePlan indexes routes by Host name, with the longest path prefix first.
func NewRoutePlan(routes []RouteSettings) *RoutePlan {
	p := &RoutePlan{byHost: map[string][]*RouteSettings{}}
	for i := range routes {
		r := &routes[i]
		p.byHost[r.HostName] = insertByPrefix(p.byHost[r.HostName], r)
	}
	return p
}

// Find returns the route of a Host name with the longest matching prefix of path, or false if no route matches.
func (p *RoutePlan) Find(hostName, path string) (*RouteSettings, bool) {
	for _, r := range p.byHost[hostName] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// Serves reports whether any route has this Host name.
func (p *RoutePlan) Serves(hostName string) bool {
	return p != nil && len(p.byHost[hostName]) > 0
}

func insertByPrefix(sorted []*RouteSettings, r *RouteSettings) []*RouteSettings {
	i := 0
	for i < len(sorted) && len(sorted[i].PathPrefix) >= len(r.PathPrefix) {
		i++
	}
	sorted = append(sorted, nil)
	copy(sorted[i+1:], sorted[i:])
	sorted[i] = r
	return sorted
}
