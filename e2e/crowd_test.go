package e2e_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/fleet"
)

// Guards against a process that exceeds the memory or the descriptors of its host, exits or stops answering because of clients that send
// requests of legal size with very many lines, endless heads or endless empty lines. These tests run one at a time and apart from other
// load: they are not parallel, and go test runs those of a package before it resumes the parallel ones.
func TestCrowd(t *testing.T) {
	tests := map[string]struct {
		address     string
		connections int
		act         client
	}{
		"legal, different short names":      {"front", 48, once(legal(1<<20, ""), 16)},
		"legal, one name with empty values": {"front", 48, once(legal(1, ""), 16)},
		"legal, names of one letter":        {"front", 48, once(legal(32, " 1"), 16)},
		"legal, never ended":                {"front", 300, trickle(manyLines(crowdHeadBytes, 1<<20, ""), "z")},
		"too large, endless line":           {"front", 200, repeat("GET /", "x")},
		"too large, endless value":          {"front", 200, repeat(crowdLine+"A: ", "x")},
		"too large, endless lines":          {"front", 200, repeat(crowdLine, "a:\r\n")},
		"slow, one byte at a time":          {"front", 800, trickle("", crowdLine)},
		"empty lines":                       {"front", 200, repeat("", "\r\n")},
		"empty lines without CR":            {"front", 200, repeat("", "\n")},
		"empty lines, slow":                 {"front", 800, trickle("\r\n", "\r\n")},
		"ready, many lines never ended":     {"ready", 100, trickle(manyLines(600<<10, 1<<20, ""), "z")},
		"ready, endless lines":              {"ready", 50, repeat(crowdLine, "a:\r\n")},
		"ready, slow":                       {"ready", 800, trickle("", crowdLine)},
		"directory, many lines never ended": {"directory", 100, trickle(manyLines(600<<10, 1<<20, ""), "z")},
		"directory, endless line":           {"directory", 100, repeat("GET /", "x")},
		"directory, empty lines":            {"directory", 200, repeat("", "\r\n")},
		"links, endless bytes":              {"links", 200, repeat("\x00\x00\x10\x00\x01", "x")},
		"links, slow":                       {"links", 800, trickle("\x00", "\x00")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, addresses := startPlatform(t, 0, crowdDescriptors)
			h.play(addresses[test.address], test.connections, test.act)
		})
	}
}

// Guards against the same faults as TestCrowd at the entry program.
func TestCrowdOfEntry(t *testing.T) {
	const legalBytes = 900 << 10
	tests := map[string]struct {
		address     string
		connections int
		act         client
	}{
		"legal, different short names": {"caller", 48, once([]byte(manyLines(legalBytes, 1<<20, "")+"Ebony-Service: board\r\n\r\n"), 2)},
		"never ended":                  {"caller", 300, trickle(manyLines(crowdHeadBytes, 1<<20, ""), "z")},
		"too large, endless lines":     {"caller", 100, repeat(crowdLine, "a:\r\n")},
		"too large, endless line":      {"caller", 100, repeat("GET /", "x")},
		"slow, one byte at a time":     {"caller", 800, trickle("", crowdLine)},
		"empty lines":                  {"caller", 200, repeat("", "\r\n")},
		"relay, never ended":           {"relay", 300, trickle(manyLines(crowdHeadBytes, 1<<20, ""), "z")},
		"admin, never ended":           {"admin", 300, trickle(manyLines(crowdHeadBytes, 1<<20, ""), "z")},
		"admin, slow":                  {"admin", 800, trickle("", crowdLine)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, addresses := startEntry(t)
			h.play(addresses[test.address], test.connections, test.act)
		})
	}
}

// Guards against a process that exceeds the memory of its host because of clients that send many bodies at the same time without
// their ends, or that do not read their responses.
func TestCrowdOfBodies(t *testing.T) {
	const bodyBytes = 60 << 10
	complete := "POST /r/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: " + strconv.Itoa(bodyBytes) + "\r\n\r\n" + strings.Repeat("x", bodyBytes)
	tests := map[string]struct {
		connections int
		act         client
		read        bool
		bodyBytes   int
	}{
		"pipelined bodies":            {150, once([]byte(complete), 20), true, 0},
		"bodies never ended":          {500, trickle(complete[:len(complete)-100], ""), true, 0},
		"responses never read":        {150, once([]byte(crowdLine+"\r\n"), 16), false, bodyBytes},
		"large responses never read":  {150, once([]byte(crowdLine+"\r\n"), 16), false, 4 << 20},
		"large uploads, never ended":  {150, once([]byte("POST /r/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 60000000\r\n\r\n"+strings.Repeat("x", 1<<20)), 1), true, 0},
		"pipelined, responses unread": {150, once([]byte(complete), 20), false, bodyBytes},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, addresses := startPlatform(t, test.bodyBytes, crowdDescriptors)
			h.playReading(addresses["front"], test.connections, test.act, test.read)
		})
	}
}

// Guards against a process that exceeds the memory of its host together with the bytes that the kernel holds for it: bytes received but
// not yet read count, and many clients send more than the process reads or read less than it sends.
func TestCrowdUnread(t *testing.T) {
	const connections, descriptors = 800, 2048
	request := crowdLine + "\r\n"
	tests := map[string]struct {
		act       client
		read      bool
		bodyBytes int
	}{
		"more requests than are read":     {repeat("", request), true, 0},
		"more uploads than are forwarded": {repeat("POST /r/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 60000000\r\n\r\n", "x"), true, 0},
		"responses never read":            {once([]byte(request), 16), false, 1 << 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, addresses := startPlatform(t, test.bodyBytes, descriptors)
			stop, most := make(chan struct{}), make(chan int64)
			go func() {
				largest := int64(0)
				for ; !isClosed(stop); time.Sleep(20 * time.Millisecond) {
					received, sent, err := fleet.QueuedBytes(addresses["front"])
					rss, errRSS := h.process.RSS()
					if err == nil && errRSS == nil {
						largest = max(largest, rss+received+sent)
					}
				}
				most <- largest
			}()
			h.playReading(addresses["front"], connections, test.act, test.read)
			close(stop)
			largest := <-most
			t.Logf("most resident and queued bytes %.1f MB", float64(largest)/(1<<20))
			assert.Check(t, largest <= crowdMemoryMB<<20, "%d MB", largest>>20)
		})
	}
}
