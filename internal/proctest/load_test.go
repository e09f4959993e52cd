package proctest

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/client"
	"mulberrylug.example/mulberrylug/internal/standin/engine"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// callResult is the outcome of one caller's request.
type callResult struct {
	name    string
	key     string // of a booking, "" for a stream
	result  client.Result
	outcome client.Outcome
	err     error
}

// load is a set of concurrent callers.
type load struct {
	t           *testing.T
	cl          *client.Client
	wg          sync.WaitGroup
	tokens      atomic.Int64
	firstTokens atomic.Int64 // number of streams that have received a token

	mu      sync.Mutex
	results []callResult
}

func newLoad(t *testing.T, d *deployment) *load { return &load{t: t, cl: d.client(t)} }

const callTimeout = 90 * time.Second

// stream starts a caller that streams one generation.
func (l *load) stream(n int) {
	l.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var first sync.Once
		prompt := fmt.Sprintf("%s: delivery schedule %d", l.t.Name(), n)
		res, err := l.cl.Stream(ctx, client.Completion{Model: "dispatch-7b", Prompt: prompt}, func(string) {
			first.Do(func() { l.firstTokens.Add(1) })
			l.tokens.Add(1)
		})
		l.add(callResult{name: fmt.Sprintf("stream %d", n), result: res, outcome: outcomeOf(err), err: err})
	})
}

// book starts a caller that makes one booking under a key.
func (l *load) book(key string) {
	l.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		_, err := l.cl.Do(ctx, client.Call{
			Service: "order-desk", Path: "/refills", Body: []byte(`{"cylinders":1}`), Key: key, NotRepeatable: true,
		})
		l.add(callResult{name: "booking " + key, key: key, outcome: outcomeOf(err), err: err})
	})
}

func outcomeOf(err error) client.Outcome {
	var p *client.Problem
	switch {
	case err == nil:
		return client.Done
	case errors.As(err, &p):
		return p.Outcome
	default:
		return client.Unknown
	}
}

func (l *load) add(a callResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, a)
}

// waitForFirstTokens waits until n streams have received their first token.
func (l *load) waitForFirstTokens(n int64) {
	l.t.Helper()
	testkit.Eventually(l.t, waitTimeout, fmt.Sprintf("%d streams have received a token", n), func() bool { return l.firstTokens.Load() >= n })
}

// wait waits for all callers and returns their results.
func (l *load) wait() []callResult {
	l.wg.Wait()
	return l.results
}

// checkResults compares the results with the records of the engines and the service. The tokens of a
// stream must come from one generation, in order and without duplicates, and be complete if the
// outcome is done. A booking must run at most once, and not at all if the outcome is not run.
// checkResults returns how often streams were resumed.
func checkResults(t *testing.T, d *deployment, results []callResult) (resumes int) {
	t.Helper()
	generations, calls := d.generations(t), d.callCounts(t)
	for _, a := range results {
		resumes += a.result.Resumes
		if a.key != "" {
			checkBooking(t, a, calls[a.key])
		} else {
			checkTokens(t, a, generations)
		}
	}
	return resumes
}

func checkBooking(t *testing.T, a callResult, runs int) {
	t.Helper()
	switch {
	case runs > 1:
		t.Errorf("%s ran %d times, want at most once", a.name, runs)
	case a.outcome == client.NotRun && runs != 0:
		t.Errorf("%s: outcome not run (%v), but the service ran the booking; want no run", a.name, a.err)
	case a.outcome == client.Done && runs != 1:
		t.Errorf("%s: outcome done, but the service ran the booking %d times, want once", a.name, runs)
	}
}

func checkTokens(t *testing.T, a callResult, generations map[string]engine.Record) {
	t.Helper()
	if a.result.Text == "" {
		if a.outcome == client.Done {
			t.Errorf("%s: outcome done without a token, want all tokens", a.name)
		}
		return
	}
	for attempt, rec := range generations {
		var full strings.Builder
		for n := range rec.Tokens {
			full.WriteString(engine.TokenText(attempt, n))
		}
		if !strings.HasPrefix(full.String(), a.result.Text) {
			continue
		}
		if a.outcome == client.Done && a.result.Text != full.String() {
			t.Errorf("%s: outcome done with %d of %d tokens, want all", a.name, a.result.Tokens, rec.Tokens)
		}
		return
	}
	t.Errorf("%s (outcome %s, error %v) received %d tokens that are not the beginning of any generation, want the tokens of one", a.name, a.outcome, a.err, a.result.Tokens)
}

// requireDone fails the test for every result whose outcome is not done.
func requireDone(t *testing.T, results []callResult) {
	t.Helper()
	for _, a := range results {
		if a.outcome != client.Done {
			t.Errorf("%s: outcome %s, error %v, want done", a.name, a.outcome, a.err)
		}
	}
}
