package forward

import (
	"testing"
	"time"
)

// silentDraft returns a draft that has shown five events, the last at start, and
// its attempt.
func silentDraft(t *testing.T) (*Gate, *Call, *Attempt) {
	t.Helper()
	g := gate(t, 3)
	g.table.Find("h", "/draft/").Generation = true
	c := admit(t, g, request("/draft/1"))
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
		g, call, a := silentDraft(t)
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

// An answer to a question is old news if the stream has spoken since, or if the
// run goes on at another upstream by now: acting on it would stop a sound run.
func TestAnOldAnswerAboutASilentStreamIsPassedOver(t *testing.T) {
	g, c, a := silentDraft(t)
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
	_, c, _ := silentDraft(t)
	var at []time.Duration
	for d := time.Duration(0); d < 12*time.Second; d += 50 * time.Millisecond {
		if c.QuestionDue(start.Add(d)) {
			at = append(at, d)
		}
	}
	if len(at) < 4 || len(at) > 9 || at[0] != silentLeast || at[1]-at[0] != questionEvery {
		t.Errorf("asked after %v", at)
	}
	if last := len(at) - 1; at[last]-at[last-1] != questionMost {
		t.Errorf("asked after %v, want %v between the last two", at, questionMost)
	}
	c.Progress(start.Add(12*time.Second), "x")
	if c.QuestionDue(start.Add(12*time.Second + silentLeast - 1)) {
		t.Error("asked right after an event")
	}
}
