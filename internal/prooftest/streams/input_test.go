package streams

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"mulberrylug.example/mulberrylug/internal/demo"
	"mulberrylug.example/mulberrylug/internal/standin/engine"
)

// Callers send each known kind of invalid input. Each must get one response of type
// application/problem+json with its reason, a detail and the outcome not_run, or
// unknown for an altered handle. Nothing may reach an engine or a service, and the
// instances must continue to serve.
func TestBadInputGetsAProblem(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, engine.Settings{})
	before := len(f.engines[0].Records())
	const path, good = "/v1/completions", `{"model":"dispatch-7b","prompt":"x"}`
	notRepeatable := map[string]string{"X-Not-Repeatable": "true"}
	cases := []struct {
		name, method, path, key, body string
		header                        map[string]string
		status                        int
		reason                        string
		outcome                       string // default not_run
	}{
		{name: "malformed body", path: path, body: `{"model":`, status: 400, reason: "bad_body"},
		{name: "empty body", path: path, status: 400, reason: "bad_body"},
		{name: "body that is a list", path: path, body: `[]`, status: 400, reason: "bad_body"},
		{name: "trailing data", path: path, body: good + `{}`, status: 400, reason: "bad_body"},
		{name: "no model", path: path, body: `{"prompt":"x"}`, status: 400, reason: "bad_body"},
		{name: "no prompt", path: path, body: `{"model":"dispatch-7b"}`, status: 400, reason: "bad_body"},
		{name: "max_tokens is text", path: path, body: `{"model":"dispatch-7b","prompt":"x","max_tokens":"many"}`, status: 400, reason: "bad_body"},
		{name: "negative max_tokens", path: path, body: `{"model":"dispatch-7b","prompt":"x","max_tokens":-1}`, status: 400, reason: "max_tokens"},
		{name: "max_tokens over the limit", path: path, body: `{"model":"dispatch-7b","prompt":"x","max_tokens":1025}`, status: 400, reason: "max_tokens"},
		{name: "wrong key", path: path, key: "nonsense", body: good, status: 401, reason: "bad_key"},
		{name: "unknown model", path: path, body: `{"model":"other","prompt":"x"}`, status: 404, reason: "unknown_model"},
		{name: "service not allowed", path: path, key: "forbidden-key", body: good, status: 403, reason: "service_not_allowed"},
		{name: "unknown service", path: "/v1/services/none/x", body: `{}`, status: 404, reason: "unknown_service"},
		{name: "engine as plain service", path: "/v1/services/assistant/x", body: `{}`, status: 404, reason: "unknown_service"},
		{name: "no idempotency key", path: "/v1/services/order-desk/refills", body: `{}`, header: notRepeatable, status: 400, reason: "idempotency_key_missing"},
		{name: "X-Not-Repeatable is no boolean", path: "/v1/services/order-desk/refills", body: `{}`, header: map[string]string{"X-Not-Repeatable": "yes"}, status: 400, reason: "bad_body"},
		{name: "unknown path", path: "/v2/completions", body: good, status: 404, reason: "unknown_path"},
		{name: "wrong method", method: http.MethodGet, path: path, status: 405, reason: "wrong_method"},
		{name: "wrong method for a resume", path: "/v1/stream", body: `{}`, status: 405, reason: "wrong_method"},
		{name: "body over the limit", path: path, body: `{"model":"dispatch-7b","prompt":"` + strings.Repeat("x", 1<<20) + `"}`, status: 413, reason: "body_too_large"},
		{name: "altered handle", method: http.MethodGet, path: "/v1/stream", header: map[string]string{"Last-Event-ID": "AAAA.3"}, status: 400, reason: "bad_handle", outcome: "unknown"},
	}
	for n, c := range cases {
		if c.method == "" {
			c.method = http.MethodPost
		}
		if c.key == "" {
			c.key = demo.APIKey
		}
		if c.outcome == "" {
			c.outcome = "not_run"
		}
		req, err := http.NewRequest(c.method, "http://"+f.Instances[n%3].CallerAddress()+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+c.key)
		for k, v := range c.header {
			req.Header.Set(k, v)
		}
		if msg := checkProblem(req, c.status, c.reason, c.outcome); msg != "" {
			t.Errorf("%s: %s", c.name, msg)
		}
	}
	if got := len(f.engines[0].Records()); got != before {
		t.Errorf("%d generations ran, want 0", got-before)
	}
	for _, s := range f.Services {
		if calls := s.Calls(); len(calls) != 0 {
			t.Errorf("service ran calls %v, want none", calls)
		}
	}
	f.waitServing(t)
}

// checkProblem sends a request and describes how its refusal differs from the
// expected refusal. It returns "" if there is no difference.
func checkProblem(req *http.Request, status int, reason, outcome string) string {
	cl := http.Client{Timeout: waitTimeout}
	resp, err := cl.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	var p struct {
		Status                  int
		Outcome, Reason, Detail string
	}
	if err := json.Unmarshal(raw, &p); err != nil {
		return fmt.Sprintf("%v in %q", err, raw)
	}
	switch {
	case resp.StatusCode != status || p.Status != status || p.Reason != reason:
		return fmt.Sprintf("status %d, body %s; want status %d with reason %s", resp.StatusCode, raw, status, reason)
	case resp.Header.Get("Content-Type") != "application/problem+json":
		return "want content type application/problem+json, got " + resp.Header.Get("Content-Type")
	case p.Outcome != outcome || resp.Header.Get("X-Outcome") != outcome || p.Detail == "":
		return fmt.Sprintf("outcome %q, detail %q; want the expected outcome in both body and header, and a detail", p.Outcome, p.Detail)
	}
	return ""
}
