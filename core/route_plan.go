package core

import (
	"cmp"
	"slices"
	"strings"
)

// RoutePlan finds the route of a request. It is built once per snapshot.
type RoutePlan struct {
	byHost map[string][]*RouteSettings
}

// NewRoutePlan indexes routes by Host name, with the longest path prefix first.
func NewRoutePlan(routes []RouteSettings) *RoutePlan {
	p := &RoutePlan{byHost: map[string][]*RouteSettings{}}
	for i := range routes {
		r := &routes[i]
		p.byHost[r.HostName] = append(p.byHost[r.HostName], r)
	}
	for _, ofHost := range p.byHost {
		slices.SortStableFunc(ofHost, func(a, b *RouteSettings) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
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
