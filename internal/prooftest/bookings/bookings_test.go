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

// Nine callers send the same key to three entries at the same time, while the
// service takes 300 ms. One entry must claim the key while the others wait for the
// record of the claim, so that the call runs once and all nine callers get the same
// response.
func TestPromise4SameKeyAtOnce(t *testing.T) {
	f := startFleet(t, 3, "")
	f.Services[0].SetFaults(serviceFaults{Delay: 300 * time.Millisecond})
	responses := make([]response, 9)
	var calls []func()
	for n := range responses {
		calls = append(calls, func() { responses[n] = post(t, f.Instances[n%3].CallerAddress(), "twin", "{}") })
	}
	runConcurrently(calls...)
	for n, r := range responses {
		wantResponse(t, fmt.Sprint("caller ", n), r, "done", "")
		if r.body != responses[0].body {
			t.Errorf("caller %d got body %s, want the body of caller 0: %s", n, r.body, responses[0].body)
		}
	}
	wantRuns(t, f, "twin", 1)
	wantResponse(t, "another body", post(t, f.Instances[0].CallerAddress(), "twin", `{"x":1}`), "not_run", "idempotency_key_reused")
}

// An entry is frozen after its claim was committed and before it receives the
// result, for longer than any timeout. Meanwhile a second entry receives the key.
// The second entry must not take over the claim, as the first entry may be about to
// dispatch. When the first entry resumes, its grant has expired: it must release the
// key and respond "not run". Then a retry by the second caller's client must run the
// call.
func TestPromise4HolderFrozenBetweenClaimAndDispatch(t *testing.T) {
	f := startFleet(t, 2, "")
	frozen := f.Instances[0]
	f.Platform.AfterCommit("booking/", func() {
		go frozen.Freeze(4 * time.Second)
		waitUnresponsive(frozen)
	})
	var first response
	var second error
	runConcurrently(func() {
		first = post(t, frozen.CallerAddress(), "frozen", "{}")
	}, func() {
		testkit.Eventually(t, waitTimeout, "the claim is in the table", func() bool { return len(f.Platform.Rows(`booking/"nitrogen-depot"/"order-desk"/"frozen"`)) == 1 })
		_, second = clientOf(f.Instances[1].CallerAddress()).Do(context.Background(), client.Call{
			Service: "order-desk", Path: "/refills", Body: []byte("{}"), Key: "frozen", NotRepeatable: true,
		})
	})
	wantResponse(t, "the frozen entry's caller", first, "not_run", "grant_lapsed")
	if second != nil {
		t.Errorf("second caller: error = %v, want nil", second)
	}
	wantRuns(t, f, "frozen", 1)
}

// The commit of a claim times out, and the table applies the write two seconds later.
// By then the entry must have fenced the row, so that the late write conflicts.
// Otherwise a claim that no entry holds would block the key.
func TestPromise4ClaimLandsAfterItWasGivenUp(t *testing.T) {
	f := startFleet(t, 2, "")
	f.Platform.SetFaults(platformFaults{LandLate: 1, LandAfter: 2 * time.Second, LoseMatching: "booking/"})
	start := time.Now()
	wantResponse(t, "the first caller", post(t, f.Instances[0].CallerAddress(), "late", "{}"), "not_run", "store_unavailable")
	wantRuns(t, f, "late", 0)
	testkit.Eventually(t, waitTimeout, "the time of the late write has passed", func() bool { return time.Since(start) > 3*time.Second })
	wantResponse(t, "the repeat", post(t, f.Instances[1].CallerAddress(), "late", "{}"), "done", "")
	wantRuns(t, f, "late", 1)
}

// The store is slower or faster than the entry's timeout, is down, or loses the
// responses to the claim and to its fence. The outcome that the caller gets must be
// true. After the store has recovered and the call is repeated, the call must have
// run exactly once.
func TestPromise4StoreSlowOrLossy(t *testing.T) {
	for name, faults := range map[string]platformFaults{
		"300 ms": {Delay: 300 * time.Millisecond}, "900 ms": {Delay: 900 * time.Millisecond},
		"1100 ms": {Delay: 1100 * time.Millisecond}, "down": {Down: true},
		"response to the claim lost":                {LoseAnswers: 1, LoseMatching: "booking/"},
		"responses to the claim and its fence lost": {LoseAnswers: 2, LoseMatching: "booking/"},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 2, "")
			f.Platform.SetFaults(faults)
			first := post(t, f.Instances[0].CallerAddress(), "slow", "{}")
			want := 0
			if first.outcome == "done" {
				want = 1
			} else if first.outcome != "not_run" || first.retryAfter == "" {
				t.Errorf("caller got %+v, want outcome done, or not_run with Retry-After", first)
			}
			wantRuns(t, f, "slow", want)
			f.Platform.SetFaults(platformFaults{})
			testkit.Eventually(t, waitTimeout, "the repeated call is done", func() bool {
				return post(t, f.Instances[1].CallerAddress(), "slow", "{}").outcome == "done"
			})
			wantRuns(t, f, "slow", 1)
		})
	}
}

// The service executes the call, but the connection to the service breaks or the
// service never responds. The caller must get the outcome "unknown", and so must each
// repeat at either entry: no entry may run the call again.
func TestPromise4AnswerLostAfterExecution(t *testing.T) {
	for name, faults := range map[string]serviceFaults{"connection broken": {LoseAnswers: 1}, "no response": {Hang: 1}} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 2, "")
			f.Services[0].SetFaults(faults)
			wantResponse(t, "the first caller", post(t, f.Instances[0].CallerAddress(), "lost", "{}"), "unknown", "upstream_failed")
			for _, i := range f.Instances {
				wantResponse(t, "the repeat at "+i.Name, post(t, i.CallerAddress(), "lost", "{}"), "unknown", "earlier_attempt_unknown")
			}
			wantRuns(t, f, "lost", 1)
		})
	}
}

// The store goes down while the call runs. The caller must still get its response.
// After the outage the entry writes the record in the background, and a repeat at
// the other entry must get the recorded response instead of "unknown".
func TestPromise4RecordLostIsWrittenLater(t *testing.T) {
	f := startFleet(t, 2, "")
	f.Platform.AfterCommit("booking/", func() { f.Platform.SetFaults(platformFaults{Down: true}) })
	first := post(t, f.Instances[0].CallerAddress(), "unrecorded", "{}")
	wantResponse(t, "the first caller", first, "done", "")
	f.Platform.SetFaults(platformFaults{})
	var repeat response
	testkit.Eventually(t, waitTimeout, "the repeat gets the recorded response", func() bool {
		repeat = post(t, f.Instances[1].CallerAddress(), "unrecorded", "{}")
		return repeat.outcome == "done"
	})
	if repeat.body != first.body {
		t.Errorf("repeat got body %s, want the body of the first response: %s", repeat.body, first.body)
	}
	wantRuns(t, f, "unrecorded", 1)
}

// The entry is killed right after its claim was committed, or while the call runs.
// The caller's connection breaks, and the caller sends the key again to another
// entry. The key must run at most once, and no response may say that it did not run.
func TestPromise4EntryKilled(t *testing.T) {
	for name, c := range map[string]struct {
		delay time.Duration
		runs  int
	}{"between claim and dispatch": {0, 0}, "between dispatch and record": {time.Second, 1}} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 2, "")
			f.Services[0].SetFaults(serviceFaults{Delay: c.delay})
			killedEntry := f.Instances[0]
			killed := make(chan struct{})
			kill := func() {
				killedEntry.Kill()
				close(killed)
			}
			if c.runs == 0 {
				f.Platform.AfterCommit("booking/", kill)
			} else {
				f.Platform.AfterCommit("booking/", func() {
					go func() {
						testkit.Eventually(t, waitTimeout, "the service has received the call", func() bool { return runCount(f, "killed") == 1 })
						kill()
					}()
				})
				f.Services[0].SetFaults(serviceFaults{Hang: 1})
			}
			go post(t, killedEntry.CallerAddress(), "killed", "{}")
			<-killed
			repeat := post(t, f.Instances[1].CallerAddress(), "killed", "{}")
			wantResponse(t, "the repeat", repeat, "unknown", "earlier_attempt_in_progress")
			if repeat.retryAfter == "" {
				t.Error("repeat got no Retry-After, want one")
			}
			wantRuns(t, f, "killed", c.runs)
		})
	}
}

// The HTTP library repeats some requests itself: the Transport resends a request
// without a body when a reused connection breaks, and the Client resends a request
// after a redirect with status 307. Both would run a booking twice, and the entry
// would not detect it.
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
				t.Errorf("response = %+v, want outcome %s", got, c.want)
			}
			wantRuns(t, f, "trap", 1)
		})
	}
}

// The first booking uses up the spend limit. Its repeat must get the recorded
// response, because a refusal with "not run" would be untrue. A booking with another
// key must be refused before it runs, with the time until the limit is renewed.
func TestPromise3RepeatUnderSpentLimitGetsItsOutcome(t *testing.T) {
	f := startFleet(t, 2, "0.02")
	at := f.Instances[1].CallerAddress()
	wantResponse(t, "the last booking within the limit", post(t, f.Instances[0].CallerAddress(), "last", "{}"), "done", "")
	wantResponse(t, "the repeat of that booking", post(t, at, "last", "{}"), "done", "")
	over := post(t, at, "over", "{}")
	wantResponse(t, "the booking over the limit", over, "not_run", "spend_limit")
	if over.retryAfter == "" {
		t.Error("refusal over the limit has no Retry-After, want one")
	}
	wantRuns(t, f, "over", 0)
	wantRuns(t, f, "last", 1)
}

// The entry was paused after its decision to dispatch, until the grant had expired.
// upstream.Client must check the grant's expiry right before it sends the request. It
// must send nothing, and report a failure with Sent false.
func TestPromise4LapsedGrantIsNotSent(t *testing.T) {
	t.Parallel()
	desk := service.New("desk", 1)
	srv := httptest.NewServer(desk.Handler())
	defer srv.Close()
	events := make(chan core.Event, 1)
	cl := upstream.NewClient(func(e core.Event) { events <- e })
	cl.Run(context.Background(), core.Dispatch{
		Request: "r", Attempt: "r/1", Address: srv.Listener.Addr().String(), Method: http.MethodPost, Path: "/refills",
		SendBefore: time.Now().Add(-time.Millisecond), Timeout: waitTimeout,
	})
	if e, ok := (<-events).(core.UpstreamFailed); !ok || e.Sent {
		t.Errorf("event = %+v, want core.UpstreamFailed with Sent false", e)
	}
	if calls := desk.Calls(); len(calls) != 0 {
		t.Errorf("service ran calls %v, want none", calls)
	}
}
