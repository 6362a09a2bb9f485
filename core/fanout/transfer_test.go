package fanout

import (
	"bytes"
	"context"
	cryptorand "crypto/rand"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/timer"
)

// fakeLinks implements core.Links for a Keeper: it passes all requests to one peer and counts the bytes of the replies.
type fakeLinks struct {
	core.Links
	bytes    int
	handlers map[string]core.RequestHandler
	peer     *fakeLinks
}

func (f *fakeLinks) HandleRequest(topic string, h core.RequestHandler) { f.handlers[topic] = h }

func (f *fakeLinks) Request(ctx context.Context, _, topic string, payload []byte) ([]byte, error) {
	reply, err := f.peer.handlers[topic](ctx, "", payload)
	f.bytes += len(reply)
	return reply, err
}

// discardMessenger is a core.Messenger that discards all messages.
type discardMessenger struct{ core.Messenger }

func (discardMessenger) HandleMessage(string, core.MessageHandler) {}

func (discardMessenger) Send(string, string, []byte) error { return nil }

// Guards against documents that arrive changed or incomplete, and against repetitive content that is sent uncompressed.
func TestTransfer(t *testing.T) {
	random := make([]byte, 3*core.DocumentChunkBytes)
	for i := range random {
		random[i] = byte(rand.Uint32())
	}
	for name, tc := range map[string]struct {
		content []byte
		limit   int
	}{
		"empty":         {nil, 500},
		"many chunks":   {random, len(random) + 2000},
		"settings tree": {targets(2760), len(targets(2760)) / 5},
	} {
		t.Run(name, func(t *testing.T) {
			source := &fakeLinks{handlers: map[string]core.RequestHandler{}}
			links := &fakeLinks{handlers: map[string]core.RequestHandler{}, peer: source}
			from := New(source, discardMessenger{}, timer.NewManual(), zap.NewNop())
			to := New(links, discardMessenger{}, timer.NewManual(), zap.NewNop())
			_, err := from.Offer(core.Document{Content: tc.content, Name: "x", Version: 3})
			assert.NilError(t, err)
			assert.NilError(t, to.Sync(t.Context(), "peer"))
			d, _ := to.Document("x")
			assert.Equal(t, d.Version, int64(3))
			assert.Assert(t, bytes.Equal(d.Content, tc.content))
			assert.Assert(t, links.bytes <= tc.limit, "%d bytes for %d", links.bytes, len(tc.content))
		})
	}
}

// Guards against changes that result in other content than that of the peer, against patching a base of another version
// or content, and against sending the whole document for a small change.
func TestChanges(t *testing.T) {
	content := targets(1000)
	edit := func(n int) []byte { return bytes.Replace(content, []byte("00-a"), fmt.Appendf(nil, "%02d-b", n), n) }
	for name, tc := range map[string]struct {
		baseVersion int64
		content     []byte
		limit       int
	}{
		"one version behind":      {4, edit(4), 1000},
		"three versions behind":   {2, edit(2), 2000},
		"too far behind":          {1, edit(1), len(content)},
		"base with other content": {4, edit(7), len(content)},
		"empty base":              {4, nil, len(content)},
		"no document":             {0, nil, len(content)},
	} {
		t.Run(name, func(t *testing.T) {
			source := &fakeLinks{handlers: map[string]core.RequestHandler{}}
			links := &fakeLinks{handlers: map[string]core.RequestHandler{}, peer: source}
			from := New(source, discardMessenger{}, timer.NewManual(), zap.NewNop())
			to := New(links, discardMessenger{}, timer.NewManual(), zap.NewNop())
			for _, version := range []int64{2, 3, 4, 5} {
				_, err := from.Offer(core.Document{Content: edit(int(version)), Name: "x", Version: version})
				assert.NilError(t, err)
			}
			if tc.baseVersion > 0 {
				_, err := to.Offer(core.Document{Content: tc.content, Name: "x", Version: tc.baseVersion})
				assert.NilError(t, err)
			}
			assert.NilError(t, to.Sync(t.Context(), "peer"))
			d, _ := to.Document("x")
			assert.Equal(t, d.Version, int64(5))
			assert.Assert(t, bytes.Equal(d.Content, edit(5)))
			assert.Assert(t, links.bytes <= tc.limit, "%d bytes", links.bytes)
		})
	}
}

// Guards against an exchange of versions that sends nothing to a host with a missing or older document, and against one
// that sends versions which the requester already has. A requester that sends no checksum receives all versions.
func TestSyncComparesFirst(t *testing.T) {
	const limit = 20
	for name, tc := range map[string]struct {
		versions map[string]int64
		want     bool
	}{
		"the same": {map[string]int64{"ownership/r0": 3, "ownership/r1": 5}, false},
		"older":    {map[string]int64{"ownership/r0": 3, "ownership/r1": 4}, true},
		"missing":  {map[string]int64{"ownership/r0": 3}, true},
		"more":     {map[string]int64{"ownership/r0": 3, "ownership/r1": 5, "settings": 1}, true},
		"nothing":  {nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			source := &fakeLinks{handlers: map[string]core.RequestHandler{}}
			links := &fakeLinks{handlers: map[string]core.RequestHandler{}, peer: source}
			from := New(source, discardMessenger{}, timer.NewManual(), zap.NewNop())
			to := New(links, discardMessenger{}, timer.NewManual(), zap.NewNop())
			offer := func(k *Keeper, versions map[string]int64) {
				for name, version := range versions {
					_, err := k.Offer(core.Document{Content: []byte("x"), Name: name, Version: version})
					assert.NilError(t, err)
				}
			}
			offer(from, map[string]int64{"ownership/r0": 3, "ownership/r1": 5})
			offer(to, tc.versions)
			assert.NilError(t, to.Sync(t.Context(), "peer"))
			assert.Equal(t, links.bytes > limit, tc.want, "%d bytes", links.bytes)
			d, _ := to.Document("ownership/r1")
			assert.Equal(t, d.Version, int64(5))
			all, err := from.handleSync(t.Context(), "", nil)
			assert.NilError(t, err)
			assert.Assert(t, len(all) > limit)
		})
	}
}

// FuzzPatch guards against patches that do not result in the new content, and against damaged patches that crash the
// receiver.
func FuzzPatch(f *testing.F) {
	f.Add([]byte("abc"), []byte("abd"))
	f.Add(targets(3), targets(4))
	f.Fuzz(func(t *testing.T, old, next []byte) {
		got, err := applyPatch(old, diff(old, next))
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, next))
		_, _ = applyPatch(old, next)
	})
}

// Guards against a small compressed document that exhausts the memory of its receiver.
func TestDecompressIsBounded(t *testing.T) {
	data, err := compress(make([]byte, core.MaxDocumentBytes+1))
	assert.NilError(t, err)
	_, err = decompress(data)
	assert.ErrorContains(t, err, "more than")
}

// BenchmarkChange reports the time to compute and to apply a patch that changes one member of an ownership document of the
// design size, and the size of the patch and of the whole document.
func BenchmarkChange(b *testing.B) {
	document := core.Ownership{Epoch: 1000, Members: map[string]core.Member{}, Objects: map[string]core.ObjectOwner{}, Region: "r0"}
	for i := range 138 {
		m := core.Member{GrantorsFrom: 900, Host: fmt.Sprintf("r0-z0-%03d", i), Incarnation: cryptorand.Text()}
		for g := range core.MaxGrantors {
			m.Grantors = append(m.Grantors, core.GrantorRef{Host: fmt.Sprintf("r0-z1-%03d", i+g), Incarnation: cryptorand.Text()})
		}
		document.Members[m.Host] = m
		for n := range 4 {
			document.Objects[core.TargetObject("bookings", fmt.Sprintf("t-%03d-%d", i, n))] = core.ObjectOwner{Host: m.Host, Incarnation: m.Incarnation, Since: 900}
		}
	}
	encode := func() []byte {
		document.ChangeID = cryptorand.Text()
		content, _ := json.Marshal(document)
		return content
	}
	old := encode()
	document.Epoch++
	m := document.Members["r0-z0-070"]
	m.GrantorsFrom, m.Grantors = document.Epoch, m.Grantors[1:]
	document.Members[m.Host] = m
	next := encode()
	var patch []byte
	b.Run("compute", func(b *testing.B) {
		for b.Loop() {
			patch = diff(old, next)
		}
		b.ReportMetric(float64(len(patch)), "patch_B")
	})
	b.Run("apply", func(b *testing.B) {
		for b.Loop() {
			_, _ = applyPatch(old, patch)
		}
	})
	b.Run("whole", func(b *testing.B) {
		var data []byte
		for b.Loop() {
			data, _ = compress(next)
		}
		b.ReportMetric(float64(len(data)), "packed_B")
		b.ReportMetric(float64(len(next)), "plain_B")
	})
}

// BenchmarkCompress reports the time to compress a settings tree of 690 hosts, and its size before and after.
func BenchmarkCompress(b *testing.B) {
	content := targets(2760)
	var data []byte
	for b.Loop() {
		data, _ = compress(content)
	}
	b.ReportMetric(float64(len(content)), "plain_B")
	b.ReportMetric(float64(len(data)), "packed_B")
}

// targets returns an excerpt of a settings tree with n targets.
func targets(n int) []byte {
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, "        \"statusboard-%04d\": {\n          \"address\": \"10.%d.%d.%d:%d\",\n          \"connections\": 360,\n"+
			"          \"slots\": %d,\n          \"zone\": \"region-%d-a\"\n        },\n", i, i%5, i/250, i%250, 20000+i%7, 4+i%6, i%11)
	}
	return b.Bytes()
}
