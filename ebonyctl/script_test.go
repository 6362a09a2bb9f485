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

// tree is the settings tree of the scripts, with three values to fill in.
const tree = `{"deployment":"d","policy":{"deadline_ms":%d},
"regions":{"r":{"zones":{"r-a":{"policy":{"queue_max":6}}}},"q":{"zones":{"q-a":{}}}},
"services":{"s":{"targets":{"t1":{"address":"127.0.0.1:1","connections":1,"slots":%s,"zone":"r-a"}}}},
"links":[{"from":"r","to":"q","mbit_per_second":1,"one_way_ms":1}],
"shifts":[{"service":"s","from":"r","to":"q","requests_per_second":%d}]}`

// stand is the store and the administration API that a script talks to.
type stand struct {
	exit   int
	loader *lookup.Loader
	memory *store.Memory
	ranker *lookup.Ranker
	// cut makes an outage begin right after the next update of the settings head took effect.
	cut atomic.Bool
	// rival holds the operator who is first at the next update of the settings head.
	rival    atomic.Pointer[func()]
	settings config.Holder
}

// TestScripts runs each command as an operator would, with faults of the store in between.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			s := &stand{memory: store.NewMemory()}
			test := httptest.NewServer(s.handler())
			e.Defer(test.Close)
			s.loader = lookup.NewLoader(zap.NewNop(), &s.settings, s.memory, s.startRanker())
			e.Values["stand"] = s
			e.Vars = append(e.Vars, "STORE="+test.Listener.Addr().String())
			files := map[string]string{
				"one.json":   fmt.Sprintf(tree, 900, "1", 5),
				"two.json":   fmt.Sprintf(tree, 900, "1", 6),
				"three.json": fmt.Sprintf(tree, 800, "1", 5),
				"bad.json":   fmt.Sprintf(tree, 900, `"x"`, -5),
				"gone.json":  strings.Replace(fmt.Sprintf(tree, 900, "1", 5), "{", `{"blocks":{"parts":1,"version":"gone"},`, 1),
			}
			for name, content := range files {
				if err := os.WriteFile(filepath.Join(e.WorkDir, name), []byte(content), 0o600); err != nil {
					return err
				}
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ctl": ctl, "cut": cut, "damage": damage, "exit": exit, "lookup": lookUp, "objects": objects, "rival": rival,
			"store": faults,
		},
	})
}

// ctl runs ebonyctl in this process against the script's store.
func ctl(ts *testscript.TestScript, neg bool, args []string) {
	s := ts.Value("stand").(*stand)
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

// cut arms an outage that begins right after the next update of the settings head took effect.
func cut(ts *testscript.TestScript, _ bool, _ []string) {
	ts.Value("stand").(*stand).cut.Store(true)
}

// damage changes the first object below a prefix, as a faulty store would.
func damage(ts *testscript.TestScript, _ bool, args []string) {
	s := ts.Value("stand").(*stand)
	list, err := s.memory.List(context.Background(), args[0])
	ts.Check(err)
	_, err = s.memory.Put(context.Background(), list[0].Key, []byte("damaged"), list[0].Version)
	ts.Check(err)
}

// exit checks the exit code of the last ctl.
func exit(ts *testscript.TestScript, _ bool, args []string) {
	if got := strconv.Itoa(ts.Value("stand").(*stand).exit); got != args[0] {
		ts.Fatalf("exit code %s, not %s", got, args[0])
	}
}

// faults switches the faults of the store: ok, outage or lost N.
func faults(ts *testscript.TestScript, _ bool, args []string) {
	f := store.Faults{Outage: args[0] == "outage"}
	if args[0] == "lost" {
		n, err := strconv.Atoi(args[1])
		ts.Check(err)
		f.LostResponses = n
	}
	ts.Value("stand").(*stand).memory.SetFaults(f)
}

// Hosts implements core.HostView.Hosts.
func (s *stand) Hosts() []core.Host {
	return []core.Host{{EntryAddress: "127.0.0.1:2", Host: "h1", State: core.HostReady, Zone: "r-a"}}
}

// startRanker returns the look-ups of an entry process that takes its settings from the stand.
func (s *stand) startRanker() *lookup.Ranker {
	s.ranker = lookup.NewRanker(zap.NewNop(), &s.settings, s)
	return s.ranker
}

// takeOver puts the accepted revision in force in the look-ups.
func (s *stand) takeOver() (int64, error) {
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

// lookUp lets the look-ups of an entry process take over the accepted revision and checks the site of a client.
func lookUp(ts *testscript.TestScript, _ bool, args []string) {
	s := ts.Value("stand").(*stand)
	revision, err := s.takeOver()
	ts.Check(err)
	ts.Check(s.loader.Load(context.Background()))
	w := httptest.NewRecorder()
	s.ranker.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/lookup?service=s&client="+args[0], nil))
	var answer core.LookupAnswer
	ts.Check(json.Unmarshal(w.Body.Bytes(), &answer))
	if answer.Site != args[1] || answer.Revision != revision {
		ts.Fatalf("%d: %s", w.Code, w.Body)
	}
}

// objects checks the number of objects in the store.
func objects(ts *testscript.TestScript, _ bool, args []string) {
	list, err := ts.Value("stand").(*stand).memory.List(context.Background(), "")
	ts.Check(err)
	if got := strconv.Itoa(len(list)); got != args[0] {
		ts.Fatalf("%s objects, not %s: %v", got, args[0], list)
	}
}

// rival lets another operator apply a block file, or a settings file with the block map of revision N, to revision N just
// before the next update of the head.
func rival(ts *testscript.TestScript, _ bool, args []string) {
	s := ts.Value("stand").(*stand)
	content := ts.ReadFile(args[0])
	base, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	first := func() {
		if strings.HasSuffix(args[0], ".blocks") {
			a := &app{errOut: os.Stderr, now: time.Now, out: io.Discard}
			a.run(context.Background(), []string{
				"blocks", "apply", "--store", ts.Getenv("STORE"), "--author", "rival", "--base", args[1], ts.MkAbs(args[0]),
			})
			return
		}
		settings, err := config.Decode([]byte(content))
		if err == nil {
			_, old, _ := load(context.Background(), s.memory, base)
			settings.Blocks = old.Blocks
			_, err = config.Apply(context.Background(), s.memory, config.Change{Author: "rival", Base: base, Settings: settings})
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	s.rival.Store(&first)
}

func (s *stand) handler() http.Handler {
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
			if first := s.rival.Swap(nil); first != nil {
				(*first)()
			}
			if s.cut.Swap(false) {
				defer s.memory.SetFaults(store.Faults{Outage: true})
				s.memory.SetFaults(store.Faults{LostResponses: 1})
			}
		}
		objectAPI.ServeHTTP(w, r)
	})
	return mux
}
