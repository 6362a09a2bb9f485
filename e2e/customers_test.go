package e2e_test

import (
	"net/http"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/fleet"
)

// sendWithKey sends a GET for service board with an API key, or without one if key is empty, and returns the result code.
func sendWithKey(t *testing.T, address, key string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/work", nil)
	assert.NilError(t, err)
	request.Header.Set(core.HeaderService, "board")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.Header.Get(core.HeaderCode)
}

// Guards against entry processes that serve a request without a known key once the settings require keys, against a customer whose
// requests are rejected, also after a relay, and against a withdrawn key that still works.
func TestCustomers(t *testing.T) {
	t.Parallel()
	d := deploy(t, smallSpec())
	address := d.Hosts[0].CallerAddress
	assert.Equal(t, sendWithKey(t, address, ""), "1000")
	apply := func(key string) {
		settings := d.Settings
		settings.RequireKeys = true
		settings.Customers = []core.CustomerSettings{{KeyDigests: []string{core.DigestKey(key).String()}, Name: "acme"}}
		revision := d.Apply(settings)
		fleet.Eventually(t, fleet.ReadyTimeout, func() error {
			if err := d.CheckStatusRevision(revision); err != nil {
				return err
			}
			for _, h := range d.Hosts {
				if code := sendWithKey(t, h.CallerAddress, key); code != "1000" {
					return errors.Errorf("host %s answers with code %s", h.Name, code)
				}
			}
			return nil
		})
	}
	apply("key-1")
	for _, h := range d.Hosts {
		for range 20 {
			assert.Equal(t, sendWithKey(t, h.CallerAddress, "key-1"), "1000")
		}
		assert.Equal(t, sendWithKey(t, h.CallerAddress, "key-2"), "2008")
		assert.Equal(t, sendWithKey(t, h.CallerAddress, ""), "2008")
	}
	apply("key-2")
	for _, h := range d.Hosts {
		assert.Equal(t, sendWithKey(t, h.CallerAddress, "key-1"), "2008")
	}
}
