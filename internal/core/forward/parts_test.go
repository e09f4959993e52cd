package forward

import (
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/route"
	"mulberrylug.example/mulberrylug/internal/core/status"
	"mulberrylug.example/mulberrylug/internal/core/suspect"
)

const (
	crashingPart uint64 = 7
	soundPart    uint64 = 8
)

// partsGate returns a gate whose streams are generations, without a home.
func partsGate(t *testing.T) *Gate {
	t.Helper()
	c := config(3)
	for k := range c.Routes {
		c.Routes[k].Generation = c.Routes[k].Kind == route.Stream
	}
	g := gate(t, 4)
	c.Version++
	g.Adopt(route.NewTable(c))
	return g
}

func requestWith(parts ...uint64) Request {
	r := request("/resumable/1")
	r.Parts = parts
	return r
}

// crash records that upstreams crashed under n requests with the same parts, no two of which are alike.
func crash(g *Gate, n int, parts []uint64) {
	for k := range n {
		g.Accuse(start, suspect.Evidence{
			Fingerprint: uint64(100 + k), Parts: parts, Crash: suspect.Crash{Upstream: string(rune('a' + k)), Boot: "1"}, At: start,
		})
	}
}

// A request whose parts are convicted must be refused on every way to an upstream: when it comes, and when it
// was admitted before, with a status that is true. A request with other parts must not.
func TestConvictedPartsAreRefusedAtEachStep(t *testing.T) {
	g, later := partsGate(t), start.Add(suspect.SettleTime)
	waiting := admit(t, g, requestWith(crashingPart))
	repeated := admit(t, g, requestWith(crashingPart))
	if s := g.Start(start, repeated); s.Send == nil {
		t.Fatalf("step %+v, want an attempt", s)
	}
	crash(g, 3, waiting.Parts)
	if s := g.Start(later, waiting); s.Refuse == nil || s.Refuse.Status != status.ServiceUnavailable || s.Why != Crashes {
		t.Errorf("step %+v of a request that was admitted before, want a refusal with 503", s)
	}
	if s := g.Ended(later, repeated, Lost, false); s.Refuse == nil || s.Refuse.Status != status.BadGateway {
		t.Errorf("step %+v of a request that may have run, want 502", s)
	}
	if _, refusal := g.Admit(later, requestWith(crashingPart)); refusal == nil || refusal.Reason != Crashes || refusal.Status != status.ServiceUnavailable {
		t.Errorf("refusal %+v of a new request, want 503", refusal)
	}
	if _, refusal := g.Admit(later, requestWith(soundPart)); refusal != nil {
		t.Errorf("a request with another part is refused: %+v", refusal)
	}
}

// A request whose upstream crashed must not be sent to another one if other requests with its part have crashed
// upstreams, nor be held back after the crash of one upstream that had nothing to do with it.
func TestASuspectedPartIsNotSentAgain(t *testing.T) {
	for crashes, again := range map[int]bool{0: true, 1: true, 2: false} {
		g := partsGate(t)
		c := admit(t, g, requestWith(crashingPart))
		if s := g.Start(start, c); s.Send == nil {
			t.Fatalf("step %+v, want an attempt", s)
		}
		crash(g, crashes, c.Parts)
		s := g.Ended(start.Add(time.Millisecond), c, Lost, false)
		if (s.Send != nil) != again {
			t.Errorf("after crashes of %d other requests: step %+v, sent again: want %v", crashes, s, again)
		}
	}
}

// A part that crashes the upstreams of one service may be sound at another.
func TestPartsAreConvictedByService(t *testing.T) {
	one, other := partsAt("one", []uint64{crashingPart}), partsAt("other", []uint64{crashingPart})
	if one[0] == other[0] || one[0] != partsAt("one", []uint64{crashingPart})[0] {
		t.Error("want different parts by service, always the same at one")
	}
}
