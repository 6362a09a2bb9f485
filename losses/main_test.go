package main

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRun guards against a row with the wrong cause: the cause is derived from several log lines of the request, and other text
// surrounds them.
func TestRun(t *testing.T) {
	const placed, rejected, finished = `"event":610,"request_id":`, `"event":611,"request_id":`, `"event":612,"request_id":`
	cases := map[string]struct {
		lines []string
		want  string
	}{
		"in time":                {[]string{placed + `"a","busy":1,"slots":4,"known_key":true`, finished + `"a","code":1000,"route":"r","took":0.2`}, "r | in time"},
		"new key":                {[]string{placed + `"a","busy":1,"slots":4`, finished + `"a","code":1000,"route":"r","past_aim":0.1,"attempts":1`}, "r | late: new key"},
		"new key, remote region": {[]string{placed + `"a","busy":1,"slots":4,"other_region":true`, finished + `"a","code":1000,"route":"r","past_aim":0.1,"attempts":1`}, "r | late: new key, other region"},
		"queue":                  {[]string{placed + `"a","busy":4,"slots":4,"known_key":true`, finished + `"a","code":1000,"route":"r","past_aim":0.1,"attempts":1`}, "r | late: queue expected"},
		"slow":                   {[]string{placed + `"a","busy":1,"slots":4,"known_key":true,"expected":0.1`, finished + `"a","code":1000,"route":"r","past_aim":0.1,"took":0.2`}, "r | late: slower than expected"},
		"remote region":          {[]string{placed + `"a","slots":4,"known_key":true,"other_region":true,"expected":0.2`, finished + `"a","code":1000,"route":"r","past_aim":0.1,"took":0.2`}, "r | late: other region"},
		"as expected":            {[]string{placed + `"a","slots":4,"known_key":true,"expected":0.2`, finished + `"a","code":1000,"route":"r","past_aim":0.1,"took":0.2`}, "r | late: as expected"},
		"repeated":               {[]string{placed + `"a"`, placed + `"a"`, finished + `"a","code":1000,"route":"r","past_aim":0.1,"attempts":2`}, "r | late: more than one attempt"},
		"refused":                {[]string{rejected + `"a","reason":"full"`, finished + `"a","code":3002,"route":"r"`}, "r | refused: full"},
		"failed":                 {[]string{placed + `"a"`, rejected + `"a","reason":"full"`, finished + `"a","code":4002,"route":"r","ran":"unknown"`}, "r | failed: code 4002, ran unknown"},
		"placement not logged":   {[]string{finished + `"a","code":1000,"route":"r","past_aim":0.1`}, "r | late: choice not in the log"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			in := "   0.0794 host-1 {" + strings.Join(c.lines, "}\nday 1 {not a log line}\n 0.1 host-1 {") + "}\n"
			var out strings.Builder
			assert.NilError(t, run(strings.NewReader(in), &out))
			assert.Assert(t, strings.Contains(out.String(), "| "+c.want+" | 1 |"), out.String())
		})
	}
}

// TestLocality guards against wrong shares of requests that reached a target which had served their affinity key before.
func TestLocality(t *testing.T) {
	in := ""
	for _, sent := range []struct {
		key    uint64
		target string
		known  bool
	}{{7, "a", false}, {7, "a", true}, {7, "b", false}, {8, "b", false}, {0, "a", false}} {
		in += fmt.Sprintf(`{"event":610,"request_id":"r","service":"s","key":%d,"target":%q,"known_key":%t}`+"\n", sent.key, sent.target, sent.known)
	}
	var out strings.Builder
	assert.NilError(t, run(strings.NewReader(in), &out))
	assert.Assert(t, strings.Contains(out.String(), "| s | 4 | 2 | 1.5 | 0.500 | 0.250 | 0.250 |"), out.String())
}

// TestMissingLinesAreCounted guards against an incomplete table that does not say so: unfinished requests and dropped log lines
// must be counted.
func TestMissingLinesAreCounted(t *testing.T) {
	in := `{"event":610,"request_id":"a"}` + "\n" + `{"event":613,"self":"h","lines":3}` + "\n" + `{"event":613,"self":"h","lines":5}` + "\n" +
		`{"event":613,"self":"i","lines":1}` + "\n"
	var out strings.Builder
	assert.NilError(t, run(strings.NewReader(in), &out))
	assert.Assert(t, strings.HasSuffix(out.String(), "\n1 requests without an end, 6 lines left out by the hosts\n"), out.String())
	assert.ErrorContains(t, run(strings.NewReader(`{"event":610,"busy":"x"}`), &out), "decode")
}
