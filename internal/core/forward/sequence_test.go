package forward

import (
	"testing"

	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
)

// An event that comes twice, that leaves others out, or that nothing places must not count as the next one.
func TestOrderOfEvents(t *testing.T) {
	for _, c := range []struct {
		name string
		call Call
		id   string
		want EventOrder
	}{
		{"first of a stream", Call{}, "7", InOrder},
		{"first without an id", Call{}, "", InOrder},
		{"next", Call{Events: 2, LastEvent: "8"}, "9", InOrder},
		{"the same again", Call{Events: 2, LastEvent: "8"}, "8", Repeated},
		{"from the beginning", Call{Events: 2, LastEvent: "8"}, "1", Repeated},
		{"with events left out", Call{Events: 2, LastEvent: "8"}, "10", Gap},
		{"without an id", Call{Events: 2, LastEvent: "8"}, "", Unnumbered},
		{"after an event without an id", Call{Events: 2}, "9", Unnumbered},
		{"next of a stream that is taken up", Call{Request: Request{AfterEvent: "8"}}, "9", InOrder},
		{"a stream that is taken up, from the beginning", Call{Request: Request{AfterEvent: "8"}}, "1", Repeated},
		{"first of a copy", Call{current: &Attempt{CopyAt: "copy"}}, "1", InOrder},
		{"first of a copy, with events left out", Call{current: &Attempt{CopyAt: "copy"}}, "4", Gap},
		{"a stream that is taken up after no number", Call{Request: Request{AfterEvent: "x"}}, "1", InOrder},
	} {
		if got := c.call.OrderOf(c.id); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// Another run that begins anew or leaves events out must not be joined to what the caller has. An upstream that does not
// number its events one by one must not lose its streams.
func TestTheFirstEventOfAnAttemptIsTheNextOne(t *testing.T) {
	for _, c := range []struct {
		name         string
		delivered    []string // in the first attempt
		next         string
		same, others bool // whether it may follow in the same attempt, and in another one
	}{
		{"next", []string{"1", "2"}, "3", true, true},
		{"the same again", []string{"1", "2"}, "2", false, false},
		{"with events left out", []string{"1", "2"}, "4", true, false},
		{"not numbered one by one", []string{"4", "8"}, "12", true, true},
		{"without an id", []string{"1", "2"}, "", true, false},
		{"after an event without an id", []string{"1", ""}, "2", true, false},
	} {
		call := Call{Route: &route.Route{}, current: &Attempt{}}
		for _, id := range c.delivered {
			call.Progress(start, id)
		}
		if got := call.MayFollow(call.OrderOf(c.next)); got != c.same {
			t.Errorf("%s, in the same attempt: %v, want %v", c.name, got, c.same)
		}
		call.current = &Attempt{}
		if got := call.MayFollow(call.OrderOf(c.next)); got != c.others {
			t.Errorf("%s, in another attempt: %v, want %v", c.name, got, c.others)
		}
	}
}

// A crashed upstream, or one whose last events did not arrive, must not count as the end of a stream.
func TestTheEndOfAConnectionIsTheEndOfAStreamOnlyIfTheUpstreamAgrees(t *testing.T) {
	call := Call{Events: 2, Request: Request{AfterEvent: "3"}}
	a := &Attempt{Entry: roster.Entry{Born: 7}}
	for _, c := range []struct {
		name   string
		report RunReport
		want   bool
	}{
		{"it has forgotten the generation", RunReport{Born: 7}, true},
		{"an older report lists the generation", RunReport{Born: 7, Listed: true, Events: 4}, true},
		{"it has made more events", RunReport{Born: 7, Listed: true, Events: 6}, false},
		{"it has started again", RunReport{Born: 8}, false},
		{"it does not say when it started", RunReport{}, true},
	} {
		if got := call.HasEnded(a, c.report); got != c.want {
			t.Errorf("%s: ended %v, want %v", c.name, got, c.want)
		}
	}
}

// A run whose events do not follow was moved meanwhile. Its copy must not be used, while those of an earlier move that are
// still untried may be.
func TestCopiesOfARunThatDoesNotFollowAreDiscarded(t *testing.T) {
	g, call := New(options()), Call{current: &Attempt{}}
	g.Redirect(&call, &roster.Upstream{}, "copy", nil)
	if call.DiscardCopies(); call.Redirected() {
		t.Error("the call goes on from the copy of a run that does not follow")
	}
	call.resumeTargets, call.resumed = []*Attempt{{CopyAt: "other"}}, true
	if call.DiscardCopies(); len(call.resumeTargets) != 1 {
		t.Error("the alternative of an earlier move is discarded")
	}
}
