package bookings

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/client"
	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/standin/service"
	"mulberrylug.example/mulberrylug/internal/testkit"
	"mulberrylug.example/mulberrylug/internal/upstream"
)

// Nine callers send the same key to three entries at once, while the service
// needs a moment. One entry claims the key; the others wait for its record.
// All nine get the one answer.
func TestPromise4SameKeyAtOnce(t *testing.T) {
	f := startFleet(t, 3, "")
	f.Services[0].SetFaults(serviceFaults{Delay: 300 * time.Millisecond})
	replies := make([]reply, 9)
	var calls []func()
	for n := range replies {
		calls = append(calls, func() { replies[n] = post(t, f.Instances[n%3].CallerAddress(), "twin", "{}") })
	}
	together(calls...)
	for n, r := range replies {
		wantReply(t, fmt.Sprint("caller ", n), r, "done", "")
		if r.body != replies[0].body {
			t.Errorf("caller %d got %s, caller 0 %s", n, r.body, replies[0].body)
		}
	}
	wantRuns(t, f, "twin", 1)
	wantReply(t, "another body", post(t, f.Instances[0].CallerAddress(), "twin", `{"x":1}`), "not_run", "idempotency_key_reused")
}

// The holder is frozen after its claim took effect and before it hears of it,
// for longer than any timeout. Meanwhile a second entry gets the key: it never
// takes a claim over, as the holder may be about to dispatch. The holder wakes,
// finds its grant lapsed, releases the key and answers "not run"; then the
// second caller's client gets its call run.
func TestPromise4HolderFrozenBetweenClaimAndDispatch(t *testing.T) {
	f := startFleet(t, 2, "")
	frozen := f.Instances[0]
	f.Platform.AfterCommit("booking/", func() {
		go frozen.Freeze(4 * time.Second)
		wantStuck(frozen)
	})
	var first reply
	var second error
	together(func() {
		first = post(t, frozen.CallerAddress(), "frozen", "{}")
	}, func() {
		testkit.Eventually(t, within, "a claim", func() bool { return len(f.Platform.Rows(`booking/"nitrogen-depot"/"order-desk"/"frozen"`)) == 1 })
		_, second = clientOf(f.Instances[1].CallerAddress()).Do(context.Background(), client.Call{
			Service: "order-desk", Path: "/refills", Body: []byte("{}"), Key: "frozen", NotRepeatable: true,
		})
	})
	wantReply(t, "the frozen entry's caller", first, "not_run", "grant_lapsed")
	if second != nil {
		t.Errorf("the second caller got %v, want an answer", second)
	}
	wantRuns(t, f, "frozen", 1)
}

// The claim's call to the table is given up, and the write lands two seconds
// later. The entry has fenced the row by then, so that the late write conflicts
// and the key is not kept by a claim that nobody holds.
func TestPromise4ClaimLandsAfterItWasGivenUp(t *testing.T) {
	f := startFleet(t, 2, "")
	f.Platform.SetFaults(platformFaults{LandLate: 1, LandAfter: 2 * time.Second, LoseMatching: "booking/"})
	begun := time.Now()
	wantReply(t, "the first caller", post(t, f.Instances[0].CallerAddress(), "late", "{}"), "not_run", "store_unavailable")
	wantRuns(t, f, "late", 0)
	testkit.Eventually(t, within, "the late write", func() bool { return time.Since(begun) > 3*time.Second })
	wantReply(t, "the repeat", post(t, f.Instances[1].CallerAddress(), "late", "{}"), "done", "")
	wantRuns(t, f, "late", 1)
}

// The store is slow, just within and just past what the entry waits for it, or
// loses the answers to the claim and to its fence. Whatever the caller is told
// is true, and once the store is well the key runs, or has run, exactly once.
func TestPromise4StoreSlowOrLossy(t *testing.T) {
	for name, faults := range map[string]platformFaults{
		"300 ms": {Delay: 300 * time.Millisecond}, "900 ms": {Delay: 900 * time.Millisecond},
		"1100 ms": {Delay: 1100 * time.Millisecond}, "down": {Down: true},
		"claim's answer lost":           {LoseAnswers: 1, LoseMatching: "booking/"},
		"claim's and fence's were lost": {LoseAnswers: 2, LoseMatching: "booking/"},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 2, "")
			f.Platform.SetFaults(faults)
			first := post(t, f.Instances[0].CallerAddress(), "slow", "{}")
			want := 0
			if first.outcome == "done" {
				want = 1
			} else if first.outcome != "not_run" || first.retryAfter == "" {
				t.Errorf("the caller got %+v, want done, or not_run with a time", first)
			}
			wantRuns(t, f, "slow", want)
			f.Platform.SetFaults(platformFaults{})
			testkit.Eventually(t, within, "the repeat", func() bool {
				return post(t, f.Instances[1].CallerAddress(), "slow", "{}").outcome == "done"
			})
			wantRuns(t, f, "slow", 1)
		})
	}
}

// The service executes the call and its connection breaks, or it never
// answers. The caller is told "unknown", and so is each repeat at either entry:
// nobody runs the call again.
func TestPromise4AnswerLostAfterExecution(t *testing.T) {
	for name, faults := range map[string]serviceFaults{"cut": {LoseAnswers: 1}, "hang": {Hang: 1}} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 2, "")
			f.Services[0].SetFaults(faults)
			wantReply(t, "the first caller", post(t, f.Instances[0].CallerAddress(), "lost", "{}"), "unknown", "upstream_failed")
			for _, i := range f.Instances {
				wantReply(t, "the repeat at "+i.Name, post(t, i.CallerAddress(), "lost", "{}"), "unknown", "earlier_attempt_unknown")
			}
			wantRuns(t, f, "lost", 1)
		})
	}
}

// The store goes down while the call runs. The caller gets its answer all the
// same. Once the store is back, the record is written in the background, and a
// repeat at the other entry gets the recorded answer instead of "unknown".
func TestPromise4RecordLostIsWrittenLater(t *testing.T) {
	f := startFleet(t, 2, "")
	f.Platform.AfterCommit("booking/", func() { f.Platform.SetFaults(platformFaults{Down: true}) })
	first := post(t, f.Instances[0].CallerAddress(), "unrecorded", "{}")
	wantReply(t, "the first caller", first, "done", "")
	f.Platform.SetFaults(platformFaults{})
	var repeat reply
	testkit.Eventually(t, within, "the record", func() bool {
		repeat = post(t, f.Instances[1].CallerAddress(), "unrecorded", "{}")
		return repeat.outcome == "done"
	})
	if repeat.body != first.body {
		t.Errorf("the repeat got %s, the first %s", repeat.body, first.body)
	}
	wantRuns(t, f, "unrecorded", 1)
}

// The entry dies right after its claim took effect, or while the call runs.
// Its caller's connection breaks and the caller sends the key again elsewhere.
// The key has run at most once, and no answer claims that it did not run.
func TestPromise4EntryKilled(t *testing.T) {
	for name, c := range map[string]struct {
		delay time.Duration
		runs  int
	}{"between claim and dispatch": {0, 0}, "between dispatch and record": {time.Second, 1}} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 2, "")
			f.Services[0].SetFaults(serviceFaults{Delay: c.delay})
			victim := f.Instances[0]
			killed := make(chan struct{})
			kill := func() {
				victim.Kill()
				close(killed)
			}
			if c.runs == 0 {
				f.Platform.AfterCommit("booking/", kill)
			} else {
				f.Platform.AfterCommit("booking/", func() {
					go func() {
						testkit.Eventually(t, within, "the call", func() bool { return runs(f, "killed") == 1 })
						kill()
					}()
				})
				f.Services[0].SetFaults(serviceFaults{Hang: 1})
			}
			go post(t, victim.CallerAddress(), "killed", "{}")
			<-killed
			repeat := post(t, f.Instances[1].CallerAddress(), "killed", "{}")
			wantReply(t, "the repeat", repeat, "unknown", "earlier_attempt_in_progress")
			if repeat.retryAfter == "" {
				t.Error("the repeat was not told when to come back")
			}
			wantRuns(t, f, "killed", c.runs)
		})
	}
}

// Traps of the HTTP library. A call without a body on a reused connection that
// breaks is sent again by the Transport; an answer of 307 makes the Client send
// it again. Either would run a booking twice behind the entry's back.
func TestPromise4LibraryDoesNotSendTwice(t *testing.T) {
	for name, c := range map[string]struct {
		faults serviceFaults
		method string
		want   string
	}{
		"broken connection": {serviceFaults{LoseAnswers: 1}, http.MethodGet, "unknown"},
		"redirect":          {serviceFaults{Redirect: 1}, http.MethodPost, "done"},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 1, "")
			address := f.Instances[0].CallerAddress()
			call(t, c.method, address, "before", "")
			f.Services[0].SetFaults(c.faults)
			got := call(t, c.method, address, "trap", "")
			if got.outcome != c.want {
				t.Errorf("got %+v, want %s", got, c.want)
			}
			wantRuns(t, f, "trap", 1)
		})
	}
}

// The limit is spent by the first booking. Its repeat is answered from the
// record; to refuse it as "not run" for the limit would be untrue. Another key
// is refused before it runs, with the time at which the limit is renewed.
func TestPromise3RepeatUnderSpentLimitGetsItsOutcome(t *testing.T) {
	f := startFleet(t, 2, "0.02")
	at := f.Instances[1].CallerAddress()
	wantReply(t, "the last within the limit", post(t, f.Instances[0].CallerAddress(), "last", "{}"), "done", "")
	wantReply(t, "its repeat", post(t, at, "last", "{}"), "done", "")
	over := post(t, at, "over", "{}")
	wantReply(t, "the next", over, "not_run", "spend_limit")
	if over.retryAfter == "" {
		t.Error("the refusal names no time")
	}
	wantRuns(t, f, "over", 0)
	wantRuns(t, f, "last", 1)
}

// The entry was paused after it had decided to dispatch: the shell looks at the
// grant's end right before it sends, sends nothing, and says so.
func TestPromise4LapsedGrantIsNotSent(t *testing.T) {
	t.Parallel()
	desk := service.New("desk", 1)
	srv := httptest.NewServer(desk.Handler())
	defer srv.Close()
	events := make(chan core.Event, 1)
	caller := upstream.NewClient(func(e core.Event) { events <- e })
	caller.Run(context.Background(), core.Dispatch{
		Request: "r", Attempt: "r/1", Address: srv.Listener.Addr().String(), Method: http.MethodPost, Path: "/refills",
		SendBefore: time.Now().Add(-time.Millisecond), Timeout: within,
	})
	if e, ok := (<-events).(core.UpstreamFailed); !ok || e.Sent {
		t.Errorf("event = %+v, want a failure that was not sent", e)
	}
	if calls := desk.Calls(); len(calls) != 0 {
		t.Errorf("the service ran %v, want nothing", calls)
	}
}
