package forward

import (
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/route"
)

// silentStream returns a stream that has shown five events, the last at start, and
// its attempt.
func silentStream(t *testing.T, path string) (*Gate, *Call, *Attempt) {
	t.Helper()
	g := gate(t, 3)
	g.table.Find("h", "/draft/").Generation = true
	g.table.Find("h", "/brief/").Generation = true
	g.table.Service("desk").Engine = &route.Engine{Moves: true}
	c := admit(t, g, request(path))
	s := g.send(start, c)
	for range 5 {
		c.Progress(start, "x")
	}
	return g, c, s.Send
}

// Something between entry and upstream loses track of the connection: it stays
// open and brings nothing. The upstream goes on and says so when it is asked; the
// caller would else wait for ever, or lose an answer that is still being made.
func TestASilentLinkIsToldFromASlowUpstream(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports []RunReport
		want    Finding
	}{
		{"makes events that do not arrive", []RunReport{{Listed: true, Events: 8}}, FindingLinkSilent},
		{"has made no more than arrived", []RunReport{{Listed: true, Events: 5}, {Listed: true, Events: 5}}, FindingWaits},
		{"preempted: it waits there", []RunReport{{Waiting: 1}, {Waiting: 1}, {Waiting: 1}}, FindingWaits},
		{"missing once: the report lags", []RunReport{{}, {Listed: true, Events: 5}, {}}, FindingWaits},
		{"missing twice in a row", []RunReport{{}, {}}, FindingGone},
	} {
		g, call, a := silentStream(t, "/draft/1")
		now, got := start, FindingWaits
		for _, r := range c.reports {
			now = now.Add(time.Second)
			got = g.Judge(call, a, now, r)
		}
		if got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// An answer to a question is stale if the stream has spoken since, or if the
// run goes on at another upstream by now: acting on it would stop a sound run.
func TestAnOldAnswerAboutASilentStreamIsPassedOver(t *testing.T) {
	g, c, a := silentStream(t, "/draft/1")
	asked := start.Add(400 * time.Millisecond)
	c.Progress(start.Add(500*time.Millisecond), "x")
	if f := g.Judge(c, a, asked, RunReport{Listed: true, Events: 9}); f != FindingWaits {
		t.Errorf("spoke since the question: %s", f)
	}
	if f := g.Judge(c, &Attempt{}, start.Add(time.Second), RunReport{Listed: true, Events: 9}); f != FindingWaits {
		t.Errorf("another attempt: %s", f)
	}
}

// Questions have a price and an engine under load may be silent for seconds, so
// they get rarer; an event starts the count anew.
func TestQuestionsGetRarer(t *testing.T) {
	g, c, _ := silentStream(t, "/draft/1")
	var at []time.Duration
	for d := time.Duration(0); d < 12*time.Second; d += 50 * time.Millisecond {
		if g.QuestionDue(start.Add(d), c) {
			at = append(at, d)
		}
	}
	if len(at) < 4 || len(at) > 9 || at[0] != minSilence || at[1]-at[0] != questionInterval {
		t.Errorf("asked after %v", at)
	}
	if last := len(at) - 1; at[last]-at[last-1] != maxQuestionInterval {
		t.Errorf("asked after %v, want %v between the last two", at, maxQuestionInterval)
	}
	c.Progress(start.Add(12*time.Second), "x")
	if g.QuestionDue(start.Add(12*time.Second+minSilence-1), c) {
		t.Error("asked right after an event")
	}
}

// An engine can't move its runs. A draft whose connection is silent may not run again,
// and stays as it is; a brief may, and is given up so that it goes on elsewhere. A
// service that is no engine is never asked: to it the question is a request.
func TestSilentStreamsWhereNothingMoves(t *testing.T) {
	made := RunReport{Listed: true, Events: 8}
	for path, want := range map[string]Finding{"/draft/1": FindingWaits, "/brief/1": FindingGone} {
		g, c, a := silentStream(t, path)
		g.table.Service("desk").Engine.Moves = false
		if got := g.Judge(c, a, start.Add(time.Second), made); got != want {
			t.Errorf("%s: %s, want %s", path, got, want)
		}
		g.table.Service("desk").Engine = nil
		if g.QuestionDue(start.Add(time.Minute), c) {
			t.Errorf("%s: a plain service is asked", path)
		}
	}
}
