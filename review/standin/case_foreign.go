package main

import (
	"fmt"
	"net/http"
	"time"

	"encoding/json"
)

func init() { cases["entry-with-missing-fields"] = entryWithMissingFields }

// entryWithMissingFields: another writer replaces the entry of a target of items by one that says lists and lacks version and
// coldLeft; the target's next heartbeat restores it. The rule is broken if a request for lists is run by the target of items.
func entryWithMissingFields(e *env) (bool, error) {
	respond := func(*http.Request) answer { return answer{work: 50 * time.Millisecond, size: 900} }
	if err := e.deployment(2, respond, respond); err != nil {
		return false, err
	}
	traffic := e.startTraffic("GET", "/list/1", 8)
	// The hosts have been up for longer than contact.
	time.Sleep(5 * time.Second)
	if e.trouble {
		t := e.targets[2]
		t.mutex.Lock()
		entry := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":"lists","zone":%q,"slots":%d},"status":{"state":"ready","seq":%d}}`,
			t.address, t.born, t.zone, t.slots, t.sequel)
		t.mutex.Unlock()
		e.store.put("servers", t.id, json.RawMessage(entry))
		e.record.add("another writer stores servers/%s: %s", t.id, entry)
	}
	time.Sleep(4 * time.Second)
	traffic.stop()
	wrong := 0
	for _, r := range e.runsOf("items") {
		e.record.add("%s, sent on a route to lists, was run by a target of items", r.id)
		wrong++
	}
	e.record.add("%d requests for lists were run by targets of items", wrong)
	return wrong > 0, nil
}
