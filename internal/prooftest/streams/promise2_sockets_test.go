package streams

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/client"
	"mulberrylug.example/mulberrylug/internal/demo"
	"mulberrylug.example/mulberrylug/internal/standin/engine"
	"mulberrylug.example/mulberrylug/internal/standin/service"
)

// Callers of two organisations send streamed and unstreamed requests to all
// instances at the same time, while the responses of one engine are delayed. Each
// caller must get the complete response to its own prompt.
func TestPromise2AnswersToTheRightCaller(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, engine.Settings{})
	f.engines[0].relay.Delay(30 * time.Millisecond)
	generations := map[string]int{} // number of callers by generation; max_tokens differs for each prompt
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n := range 24 {
		key := []string{demo.APIKey, pressKey}[n%2]
		req := client.Completion{Model: "dispatch-7b", Prompt: fmt.Sprintf("order %d", n), MaxTokens: 10 + n}
		cl := f.clientWithKey(t, key, 2)
		wg.Go(func() {
			text := ""
			if n%3 == 0 {
				_, text, _ = f.completeUnstreamed(t, f.Instances[n%3].CallerAddress(), key, req)
			} else {
				res, err := cl.Stream(context.Background(), req, nil)
				if err != nil {
					t.Errorf("caller %d: error = %v, want nil", n, err)
				}
				text = res.Text
			}
			f.checkTokens(t, text, true)
			if got := len(strings.Fields(text)); got != req.MaxTokens {
				t.Errorf("caller %d: got %d tokens, want %d as in its max_tokens", n, got, req.MaxTokens)
			}
			mu.Lock()
			defer mu.Unlock()
			hash, _, _ := strings.Cut(text, "-")
			generations[hash]++
		})
	}
	wg.Wait()
	if len(generations) != 24 {
		t.Errorf("callers got tokens of %d different generations, want 24, one for each caller", len(generations))
	}
}

// Two organisations book under the same idempotency key. One booking of each must
// run, and a repeat must get the outcome of its own organisation's booking. A
// booking whose response arrives after the timeout must get the outcome unknown, and
// a repeat after the arrival of the late response must get the same outcome.
func TestPromise2SameKeyOfTwoOrganisationsAndLateAnswer(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, engine.Settings{})
	book := func(key, body string) (client.Answer, error) {
		return f.clientWithKey(t, key, 3).Do(context.Background(), client.Call{
			Service: "order-desk", Path: "/refills", Body: []byte(body), Key: "refill-7", NotRepeatable: true,
		})
	}
	for _, key := range []string{demo.APIKey, pressKey, demo.APIKey, pressKey} {
		if _, err := book(key, `{"from":"`+key+`"}`); err != nil {
			t.Errorf("booking with API key %s: error = %v, want nil", key, err)
		}
	}
	bodies := map[string]int{}
	for _, s := range f.Services {
		for _, c := range s.Calls() {
			bodies[c.Body]++
		}
	}
	if len(bodies) != 2 || bodies[`{"from":"`+pressKey+`"}`] != 1 {
		t.Errorf("executed bookings by body = %v, want one of each organisation", bodies)
	}
	for _, s := range f.Services {
		s.SetFaults(service.Faults{Delay: 4 * time.Second}) // the timeout is 3 s
	}
	late := client.Call{Service: "order-desk", Path: "/refills", Body: []byte(`{}`), Key: "late", NotRepeatable: true}
	for range 2 {
		_, err := f.client(t, 0).Do(context.Background(), late)
		var p *client.Problem
		if !errors.As(err, &p) || p.Outcome != client.Unknown {
			t.Errorf("booking with a late response: %v, want outcome unknown", err)
		}
		time.Sleep(2 * time.Second) // until the late response has arrived
	}
}

// A caller resumes with an altered handle, with a handle of another organisation, or
// without one. It must be refused with reason bad_handle, and the caller that owns
// the handle must still get its complete stream.
func TestPromise2HandleOfAnotherOrganisation(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, engine.Settings{})
	id := f.firstEventID(t)
	altered := []byte(id)
	altered[10]++
	for name, c := range map[string]struct{ key, id string }{
		"another organisation": {pressKey, id},
		"altered":              {demo.APIKey, string(altered)},
		"index past the end":   {demo.APIKey, id[:strings.LastIndexByte(id, '.')] + ".99999"},
		"none":                 {demo.APIKey, ""},
	} {
		status, body := f.resume(t, c.key, c.id)
		if status != http.StatusBadRequest || !strings.Contains(body, `"reason":"bad_handle"`) {
			t.Errorf("handle %s: status %d, body %s; want 400 with reason bad_handle", name, status, body)
		}
	}
	status, body := f.resume(t, demo.APIKey, id)
	if status != http.StatusOK || !strings.Contains(body, `"outcome":"done"`) || strings.Count(body, "event: end") != 1 {
		t.Errorf("caller that owns the handle: status %d, body %s; want 200 with outcome done and one end event", status, body)
	}
}

// firstEventID starts a stream, reads the id of its first event and disconnects.
func (f *fleet) firstEventID(t *testing.T) string {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+f.Instances[0].CallerAddress()+"/v1/completions",
		strings.NewReader(`{"model":"dispatch-7b","prompt":"schedule","stream":true}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+demo.APIKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	buf := make([]byte, 0, 4096)
	for {
		part := make([]byte, 512)
		n, err := resp.Body.Read(part)
		buf = append(buf, part[:n]...)
		if line, _, ok := strings.Cut(string(buf), "\n"); ok {
			return strings.TrimPrefix(line, "id: ")
		}
		if err != nil {
			t.Fatalf("stream ended before its first event: error = %v, body %q; want an event", err, buf)
		}
	}
}

func (f *fleet) resume(t *testing.T, key, id string) (status int, body string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+f.Instances[1].CallerAddress()+"/v1/stream", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Last-Event-ID", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(raw)
}
