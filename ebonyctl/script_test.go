package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/config"
	"ebonyrouter.dev/core/store"
	"ebonyrouter.dev/core/store/server"
	"ebonyrouter.dev/entry/lookup"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// settingsFormat is the format of the settings files of the scripts. Its arguments are the deadline in milliseconds, the slots
// of the target and the cap of the shift.
const settingsFormat = `{"deployment":"d","policy":{"deadline_ms":%d},
"regions":{"r":{"zones":{"r-a":{"policy":{"queue_max":6}}}},"q":{"zones":{"q-a":{}}}},
"services":{"s":{"targets":{"t1":{"address":"127.0.0.1:1","connections":1,"slots":%s,"zone":"r-a"}}}},
"links":[{"from":"r","to":"q","mbit_per_second":1,"one_way_ms":1}],
"shifts":[{"service":"s","from":"r","to":"q","requests_per_second":%d}]}`

// fixture holds the store of a script, and the lookup service of an entry process that reads its settings from this store.
// exit is the exit code of the last ctl command.
type fixture struct {
	exit   int
	loader *lookup.Loader
	memory *store.Memory
	ranker *lookup.Ranker
	// outageAfterUpdate starts an outage of the store right after the next update of the settings head, which takes effect but
	// whose response is lost.
	outageAfterUpdate atomic.Bool
	// beforeUpdate is called once, before the next update of the settings head, to apply a change of another operator.
	beforeUpdate atomic.Pointer[func()]
	settings     config.Holder
}

// TestScripts runs the scripts of testdata. They guard against commands with wrong output, stored objects or exit codes, and
// against changes that are lost or misreported when the store fails or another operator's change is accepted first.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			s := &fixture{memory: store.NewMemory()}
			storeServer := httptest.NewServer(s.handler())
			e.Defer(storeServer.Close)
			s.loader = lookup.NewLoader(zap.NewNop(), &s.settings, s.memory, s.newRanker())
			e.Values["stand"] = s
			e.Vars = append(e.Vars, "STORE="+storeServer.Listener.Addr().String())
			files := map[string]string{
				"one.json":   fmt.Sprintf(settingsFormat, 900, "1", 5),
				"two.json":   fmt.Sprintf(settingsFormat, 900, "1", 6),
				"three.json": fmt.Sprintf(settingsFormat, 800, "1", 5),
				"bad.json":   fmt.Sprintf(settingsFormat, 900, `"x"`, -5),
				"gone.json":  strings.Replace(fmt.Sprintf(settingsFormat, 900, "1", 5), "{", `{"blocks":{"parts":1,"version":"gone"},`, 1),
				"customers.json": strings.Replace(fmt.Sprintf(settingsFormat, 900, "1", 5), "{", `{"require_keys":true,"customers":[{"name":"acme",`+
					`"key_digests":["`+core.DigestKey("plain-key").String()+`"],"requests_per_second":2.5,"home_regions":["r"]}],`, 1),
				"badcustomers.json": strings.Replace(fmt.Sprintf(settingsFormat, 900, "1", 5), "{", `{"require_keys":true,"customers":[{"name":"acme",`+
					`"key_digests":["plain-key"],"requests_per_second":-1},{"name":"","key_digests":[],"home_regions":["x"]}],`, 1),
			}
			for name, content := range files {
				if err := os.WriteFile(filepath.Join(e.WorkDir, name), []byte(content), 0o600); err != nil {
					return err
				}
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ctl": runCtl, "cut": armOutage, "damage": damageObject, "exit": checkExit, "lookup": checkLookup,
			"objects": checkObjectCount, "rival": armConcurrentApply, "store": setFaults,
		},
	})
}

// runCtl runs ebonyctl in this process against the script's store.
func runCtl(ts *testscript.TestScript, neg bool, args []string) {
	s := ts.Value("stand").(*fixture)
	for i, arg := range args {
		if strings.HasSuffix(arg, ".json") || strings.HasSuffix(arg, ".blocks") {
			args[i] = ts.MkAbs(arg)
		}
	}
	a := &app{errOut: ts.Stderr(), now: time.Now, out: ts.Stdout()}
	s.exit = a.run(context.Background(), args)
	if (s.exit != 0) != neg {
		ts.Fatalf("exit code %d", s.exit)
	}
}

// armOutage starts an outage of the store right after the next update of the settings head, which takes effect but whose
// response is lost.
func armOutage(ts *testscript.TestScript, _ bool, _ []string) {
	ts.Value("stand").(*fixture).outageAfterUpdate.Store(true)
}

// damageObject overwrites the first object with a key prefix, as a faulty store might.
func damageObject(ts *testscript.TestScript, _ bool, args []string) {
	s := ts.Value("stand").(*fixture)
	list, err := s.memory.List(context.Background(), args[0])
	ts.Check(err)
	_, err = s.memory.Put(context.Background(), list[0].Key, []byte("damaged"), list[0].Version)
	ts.Check(err)
}

// checkExit checks the exit code of the last ctl command.
func checkExit(ts *testscript.TestScript, _ bool, args []string) {
	if got := strconv.Itoa(ts.Value("stand").(*fixture).exit); got != args[0] {
		ts.Fatalf("exit code %s, not %s", got, args[0])
	}
}

// setFaults sets the faults of the store: ok for none, outage, or lost N for N lost responses.
func setFaults(ts *testscript.TestScript, _ bool, args []string) {
	f := store.Faults{Outage: args[0] == "outage"}
	if args[0] == "lost" {
		n, err := strconv.Atoi(args[1])
		ts.Check(err)
		f.LostResponses = n
	}
	ts.Value("stand").(*fixture).memory.SetFaults(f)
}

// Hosts implements core.HostView.Hosts.
func (s *fixture) Hosts() []core.Host {
	return []core.Host{{EntryAddress: "127.0.0.1:2", Host: "h1", State: core.HostReady, Zone: "r-a"}}
}

// newRanker sets and returns the ranker of the fixture, which serves the lookups.
func (s *fixture) newRanker() *lookup.Ranker {
	s.ranker = lookup.NewRanker(zap.NewNop(), &s.settings, s)
	return s.ranker
}

// applyNewest applies the newest revision to the lookups and returns its number.
func (s *fixture) applyNewest() (int64, error) {
	update, err := config.Load(context.Background(), s.memory, 0)
	if err != nil {
		return 0, err
	}
	snapshot, err := config.Compile(update)
	if err != nil {
		return 0, err
	}
	if err := s.settings.Set(snapshot); err != nil {
		return 0, err
	}
	return update.Head.Revision, s.ranker.Refresh()
}

// checkLookup applies the newest revision to the lookups of an entry process and checks the site of a client.
func checkLookup(ts *testscript.TestScript, _ bool, args []string) {
	s := ts.Value("stand").(*fixture)
	revision, err := s.applyNewest()
	ts.Check(err)
	ts.Check(s.loader.Load(context.Background()))
	w := httptest.NewRecorder()
	s.ranker.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/lookup?service=s&client="+args[0], nil))
	var response core.LookupResponse
	ts.Check(json.Unmarshal(w.Body.Bytes(), &response))
	if response.Site != args[1] || response.Revision != revision {
		ts.Fatalf("%d: %s", w.Code, w.Body)
	}
}

// checkObjectCount checks the number of objects in the store.
func checkObjectCount(ts *testscript.TestScript, _ bool, args []string) {
	list, err := ts.Value("stand").(*fixture).memory.List(context.Background(), "")
	ts.Check(err)
	if got := strconv.Itoa(len(list)); got != args[0] {
		ts.Fatalf("%s objects, not %s: %v", got, args[0], list)
	}
}

// armConcurrentApply makes another operator apply a file, with the given base revision, just before the next update of the
// settings head. The file is a block file, or a settings file, which gets the block map of the base revision.
func armConcurrentApply(ts *testscript.TestScript, _ bool, args []string) {
	s := ts.Value("stand").(*fixture)
	content := ts.ReadFile(args[0])
	base, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	update := func() {
		if strings.HasSuffix(args[0], ".blocks") {
			a := &app{errOut: os.Stderr, now: time.Now, out: io.Discard}
			a.run(context.Background(), []string{
				"blocks", "apply", "--store", ts.Getenv("STORE"), "--author", "rival", "--base", args[1], ts.MkAbs(args[0]),
			})
			return
		}
		settings, err := config.Decode([]byte(content))
		if err == nil {
			_, old, _ := loadRevision(context.Background(), s.memory, base)
			settings.Blocks = old.Blocks
			_, err = config.Apply(context.Background(), s.memory, config.Change{Author: "rival", Base: base, Settings: settings})
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	s.beforeUpdate.Store(&update)
}

// handler serves the object API of the store, with the armed faults and changes, and fixed responses of the administration
// API.
func (s *fixture) handler() http.Handler {
	objectAPI := server.New(s.memory, zap.NewNop())
	admin := func(body string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Authorization") != "Bearer secret" {
				http.Error(w, "token is not valid", http.StatusUnauthorized)
				return
			}
			_, _ = fmt.Fprintf(w, body, r.URL.Query().Get("client"))
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/explain", admin(`{"client":%q}`))
	mux.HandleFunc("/v1/status", admin(`{"hosts":[{"answered":true,"host":"h1","zone":"r-a","steer_revision":7,"entry":{"revision":7,"registration":{"state":"ready"}}},{"answered":true,"host":"h2","zone":"r-b","steer_revision":7,"entry":{"revision":6,"registration":{"state":"ready"}}},{"host":"h3","zone":"r-b","code":9002},{"answered":true,"host":"h4","zone":"r-b","steer_revision":7,"entry_age_ms":63400,"entry":{"revision":3,"owned":["s/t1"],"registration":{"state":"ready"}}}],"accepted":{"revision":7},"lowest_revision":6}%.0s`))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut && r.URL.Path == store.PathObjects+core.KeySettingsHead {
			if update := s.beforeUpdate.Swap(nil); update != nil {
				(*update)()
			}
			if s.outageAfterUpdate.Swap(false) {
				defer s.memory.SetFaults(store.Faults{Outage: true})
				s.memory.SetFaults(store.Faults{LostResponses: 1})
			}
		}
		objectAPI.ServeHTTP(w, r)
	})
	return mux
}
