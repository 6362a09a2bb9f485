package core_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// TestRoutePlanFindsLongestPrefix guards against a request that gets the route of another Host name, or a route whose path
// prefix is shorter than that of another matching route.
func TestRoutePlanFindsLongestPrefix(t *testing.T) {
	plan := core.NewRoutePlan([]core.RouteSettings{
		{Name: "root", HostName: "a.test", PathPrefix: "/"},
		{Name: "long", HostName: "a.test", PathPrefix: "/board/today/"},
		{Name: "short", HostName: "a.test", PathPrefix: "/board/"},
		{Name: "other", HostName: "b.test", PathPrefix: "/board/"},
	})
	cases := map[string]struct{ host, path, want string }{
		"longest":                {"a.test", "/board/today/1", "long"},
		"shorter":                {"a.test", "/board/1", "short"},
		"prefix without slash":   {"a.test", "/board", "root"},
		"similar name":           {"a.test", "/boards/1", "root"},
		"other host":             {"b.test", "/board/1", "other"},
		"no route of the host":   {"b.test", "/x", ""},
		"host without any route": {"c.test", "/board/1", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			route, found := plan.Find(c.host, c.path)
			assert.Equal(t, found, c.want != "")
			if found {
				assert.Equal(t, route.Name, c.want)
			}
		})
	}
}
