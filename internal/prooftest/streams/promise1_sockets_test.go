package streams

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/client"
	"mulberrylug.example/mulberrylug/internal/demo"
	"mulberrylug.example/mulberrylug/internal/standin/engine"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

var exampleCompletion = client.Completion{Model: "dispatch-7b", Prompt: "Which cylinders go to the semen bank today?"}

// completeUnstreamed sends an unstreamed completion request to an instance over
// plain HTTP.
func (f *fleet) completeUnstreamed(t *testing.T, address, key string, c client.Completion) (status int, text, outcome string) {
	t.Helper()
	raw, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return 0, "", ""
	}
	defer resp.Body.Close()
	var body struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&body) // a refusal has no choices
	if len(body.Choices) > 0 {
		text = body.Choices[0].Text
	}
	return resp.StatusCode, text, resp.Header.Get("X-Outcome")
}

// The connection to the engine fails during a generation: it stalls, breaks once or
// repeatedly, becomes silent permanently while new connections work, delivers tokens
// twice, or omits tokens. In one case the engine exceeds max_tokens instead. The entry
// must resume reading over a new connection, so that streamed and unstreamed responses
// are complete and have each token once.
func TestPromise1EngineLink(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		faults engine.StreamFaults
		inject func(f *fleet)
	}{
		"stalls":                 {faults: engine.StreamFaults{StallAfter: 20}},
		"broken every 15 tokens": {faults: engine.StreamFaults{CutAfter: 15}},
		"tokens twice":           {faults: engine.StreamFaults{Duplicate: 3}},
		"tokens missing":         {faults: engine.StreamFaults{Gap: 7}},
		"silent permanently":     {inject: func(f *fleet) { f.engines[0].relay.Silence() }},
		"broken once":            {inject: func(f *fleet) { f.engines[0].relay.Cut() }},
		"longer than permitted":  {faults: engine.StreamFaults{IgnoreMax: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 1, engine.Settings{})
			f.engines[0].SetFaults(c.faults)
			req := exampleCompletion
			if c.faults.IgnoreMax {
				req.MaxTokens = 25
			}
			unstreamedDone := make(chan struct{})
			go func() {
				defer close(unstreamedDone)
				status, text, outcome := f.completeUnstreamed(t, f.Instances[1].CallerAddress(), demo.APIKey, req)
				if status != http.StatusOK || outcome != "done" {
					t.Errorf("unstreamed response: status %d, outcome %s; want 200 and done", status, outcome)
				}
				f.checkTokens(t, text, !c.faults.IgnoreMax)
			}()
			var n atomic.Int64
			res, err := f.client(t, 0).Stream(context.Background(), req, func(string) {
				if n.Add(1) == 20 && c.inject != nil {
					c.inject(f)
				}
			})
			<-unstreamedDone
			if err != nil {
				t.Fatalf("streamed response: error = %v after %d tokens, want nil", err, res.Tokens)
			}
			if c.faults.IgnoreMax && res.Tokens != req.MaxTokens {
				t.Errorf("got %d tokens, want %d as in max_tokens", res.Tokens, req.MaxTokens)
			}
			f.checkTokens(t, res.Text, !c.faults.IgnoreMax)
		})
	}
}

// During a stream the connection between caller and entry breaks or becomes silent
// permanently, or the entry is killed. The caller must resume at another entry with
// its last event id and get the remaining tokens of the same generation, and must
// have sent its request only once.
func TestPromise1CallerLink(t *testing.T) {
	t.Parallel()
	cases := map[string]func(f *fleet){
		"connection broken": func(f *fleet) {
			for _, r := range f.relays {
				r.Cut()
			}
		},
		"connection silent permanently": func(f *fleet) {
			for _, r := range f.relays {
				r.Silence()
			}
		},
		"entry killed": func(f *fleet) {
			for n, i := range f.Instances {
				if st, err := i.Status(context.Background()); err == nil && st.Requests > 0 {
					f.relays[len(f.relays)-3+n].SetDown(true)
					i.Kill()
					return
				}
			}
		},
	}
	for name, breakLink := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 2, engine.Settings{Median: 150})
			cl := f.client(t, 0)
			var n atomic.Int64
			res, err := cl.Stream(context.Background(), exampleCompletion, func(string) {
				if n.Add(1) == 20 {
					breakLink(f)
				}
			})
			if err != nil {
				t.Fatalf("stream: error = %v after %d tokens and %d resumes, want nil", err, res.Tokens, res.Resumes)
			}
			if res.Resumes == 0 || res.Sends != 1 {
				t.Errorf("resumes = %d, sends = %d; want at least 1 resume and exactly 1 send", res.Resumes, res.Sends)
			}
			f.checkTokens(t, res.Text, true)
			for _, i := range f.Instances {
				testkit.Eventually(t, waitTimeout, "no instance tracks the request", func() bool {
					ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
					defer cancel()
					st, err := i.Status(ctx)
					return err != nil || st.Requests == 0
				})
			}
		})
	}
}

// If an engine crashes before the first token, the request must run again and the
// caller must get a complete response. If the engine crashes after the first token, an
// unstreamed request must still get a complete response, while a stream must end as
// partial, even if the restarted engine runs the generation again under its old id
// with other tokens.
func TestPromise1EngineDies(t *testing.T) {
	t.Parallel()
	t.Run("before the first token", func(t *testing.T) {
		t.Parallel()
		f := startFleet(t, 2, engine.Settings{})
		for _, e := range f.engines {
			e.SetFaults(engine.StreamFaults{FirstDelay: time.Second})
		}
		time.AfterFunc(400*time.Millisecond, f.engines[0].crash)
		res, err := f.client(t, 0).Stream(context.Background(), exampleCompletion, nil)
		if err != nil {
			t.Fatal(err)
		}
		f.checkTokens(t, res.Text, true)
	})
	t.Run("after the first token", func(t *testing.T) {
		t.Parallel()
		f := startFleet(t, 1, engine.Settings{})
		e := f.engines[0]
		e.SetFaults(engine.StreamFaults{RerunLost: true})
		unstreamedDone := make(chan struct{})
		go func() {
			defer close(unstreamedDone)
			_, text, outcome := f.completeUnstreamed(t, f.Instances[1].CallerAddress(), demo.APIKey, client.Completion{Model: "dispatch-7b", Prompt: "another"})
			if outcome != "done" {
				t.Errorf("unstreamed response: outcome %s, want done", outcome)
			}
			f.checkTokens(t, text, true)
		}()
		var n atomic.Int64
		res, err := f.client(t, 0).Stream(context.Background(), exampleCompletion, func(string) {
			if n.Add(1) == 20 {
				e.crash()
				e.reopen(t)
			}
		})
		<-unstreamedDone
		var p *client.Problem
		if !errors.As(err, &p) || p.Outcome != client.Partial {
			t.Errorf("streamed response: error = %v after %d tokens, want outcome partial", err, res.Tokens)
		}
		f.checkTokens(t, res.Text, false)
	})
}
