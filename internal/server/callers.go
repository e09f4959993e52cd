// Package server contains the HTTP handlers of an instance. callers.go and stream.go serve
// callers, operators.go serves operators.
package server

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/daemon"
	"mulberrylug.example/mulberrylug/internal/prompt"
)

const (
	// maxBody is the maximum size of a request body from a caller, in bytes.
	maxBody = 1 << 20

	// HeaderIdempotencyKey identifies a call, so that a repeat of the call returns the first
	// call's outcome.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderNotRepeatable marks a call that must run at most once.
	HeaderNotRepeatable = "X-Not-Repeatable"
	// HeaderRequestID carries the id under which operators can have the request explained.
	HeaderRequestID = "X-Request-Id"
	// HeaderOutcome carries the request's outcome.
	HeaderOutcome = "X-Outcome"
)

// Reasons for requests that are refused before they reach the core.
const (
	reasonBadBody     = "bad_body"
	reasonTooLarge    = "body_too_large"
	reasonUnknownPath = "unknown_path"
	reasonWrongMethod = "wrong_method"
)

// callerAPI contains the HTTP handlers for callers.
type callerAPI struct{ d *daemon.Daemon }

// Callers returns the HTTP handler for callers.
func Callers(d *daemon.Daemon) http.Handler {
	s := &callerAPI{d: d}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", s.entries)
	mux.HandleFunc("POST /v1/chat/completions", s.completions)
	mux.HandleFunc("POST /v1/completions", s.completions)
	mux.HandleFunc("GET /v1/stream", s.resume)
	mux.HandleFunc("/v1/services/{service}/{path...}", s.callService)
	for path, method := range map[string]string{
		"/v1/entries": http.MethodGet, "/v1/stream": http.MethodGet,
		"/v1/completions": http.MethodPost, "/v1/chat/completions": http.MethodPost,
	} {
		mux.HandleFunc(path, s.wrongMethod(method))
	}
	mux.HandleFunc("/", s.unknownPath)
	return mux
}

// entriesResponse is the response body of GET /v1/entries.
type entriesResponse struct {
	Addresses []string `json:"addresses"`
	// KeepSeconds is how long the caller may cache the response, in seconds.
	KeepSeconds float64 `json:"keep_seconds"`
}

func (s *callerAPI) entries(w http.ResponseWriter, r *http.Request) {
	e, err := s.d.Entries(r.Context(), apiKey(r))
	if err != nil {
		breakOff() // the caller has disconnected, or the instance has stopped
	}
	writeJSON(w, http.StatusOK, entriesResponse{Addresses: e.Addresses, KeepSeconds: e.TTL.Seconds()})
}

func (s *callerAPI) unknownPath(w http.ResponseWriter, _ *http.Request) {
	s.refuse(w, http.StatusNotFound, reasonUnknownPath, "no such path; see GET /v1/entries, POST /v1/chat/completions, POST /v1/completions, GET /v1/stream, POST /v1/services/{service}/…")
}

func (s *callerAPI) wrongMethod(allowed string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Allow", allowed)
		s.refuse(w, http.StatusMethodNotAllowed, reasonWrongMethod, "this path takes "+allowed+" only")
	}
}

func (s *callerAPI) refuse(w http.ResponseWriter, status int, reason, detail string) {
	s.d.Metrics().Count("refusals_total", reason)
	writeProblem(w, problem{Status: status, Outcome: string(core.NotRun), Reason: reason, Step: "parse", Detail: detail})
}

func (s *callerAPI) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	rc := http.NewResponseController(w)
	// A caller that stops in the middle of its body must not occupy a
	// connection for ever. The zero time removes the read deadline after the body.
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout)) // fails only on a closed connection
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		s.refuse(w, http.StatusRequestEntityTooLarge, reasonTooLarge, "the body may have at most "+strconv.Itoa(maxBody)+" bytes")
	case err != nil:
		s.refuse(w, http.StatusBadRequest, reasonBadBody, "the body could not be read")
	}
	return body, err == nil
}

// completions handles POST /v1/completions and POST /v1/chat/completions.
func (s *callerAPI) completions(w http.ResponseWriter, r *http.Request) {
	body, ok := s.readBody(w, r)
	if !ok {
		return
	}
	p, err := prompt.Parse(body)
	if errors.Is(err, prompt.ErrMaxTokens) {
		s.refuse(w, http.StatusBadRequest, core.ReasonMaxTokens, err.Error())
		return
	}
	if err != nil {
		s.refuse(w, http.StatusBadRequest, reasonBadBody, err.Error())
		return
	}
	req := core.CallerRequest{
		APIKey: apiKey(r), Model: p.Model, Method: r.Method, Path: r.URL.Path, Body: body,
		Stream: p.Stream, Prompt: p.Tokens, MaxTokens: p.MaxTokens, Prefix: p.Prefix,
		Fingerprint: xxhash.Sum64String(p.Model + "\x00" + p.Text),
	}
	id, sink := s.d.Request(req)
	s.respond(w, r, id, sink, p.Stream)
}

func (s *callerAPI) resume(w http.ResponseWriter, r *http.Request) {
	id, sink := s.d.Resume(apiKey(r), r.Header.Get("Last-Event-ID"))
	s.respond(w, r, id, sink, true)
}

func (s *callerAPI) callService(w http.ResponseWriter, r *http.Request) {
	body, ok := s.readBody(w, r)
	if !ok {
		return
	}
	path := "/" + r.PathValue("path")
	sum := sha256.Sum256(bytes.Join([][]byte{[]byte(r.Method), []byte(path), body}, []byte{0}))
	notRepeatable := r.Header.Get(HeaderNotRepeatable)
	if notRepeatable != "" && notRepeatable != "true" && notRepeatable != "false" {
		s.refuse(w, http.StatusBadRequest, reasonBadBody, HeaderNotRepeatable+" must be true or false")
		return
	}
	id, sink := s.d.Request(core.CallerRequest{
		APIKey: apiKey(r), Service: r.PathValue("service"), Method: r.Method, Path: path, Body: body,
		BodyHash: hex.EncodeToString(sum[:]), Fingerprint: xxhash.Sum64(sum[:]),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey), NotRepeatable: notRepeatable == "true",
	})
	s.respond(w, r, id, sink, false)
}

func apiKey(r *http.Request) string {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return key
}

// problem is the response body of a refusal, sent as application/problem+json.
type problem struct {
	Title      string  `json:"title"`
	Status     int     `json:"status"`
	Outcome    string  `json:"outcome"`
	Reason     string  `json:"reason"`
	Step       string  `json:"step,omitempty"`
	Peer       string  `json:"peer,omitempty"`
	RequestID  string  `json:"request_id,omitempty"`
	RetryAfter float64 `json:"retry_after_seconds,omitempty"`
	Detail     string  `json:"detail,omitempty"`
}

func problemOf(id string, f *core.Finish) problem {
	return problem{
		Status: f.Status, Outcome: string(f.Outcome), Reason: f.Reason, Step: f.Step, Peer: f.Peer,
		RequestID: id, RetryAfter: f.RetryAfter.Seconds(), Detail: reasonDetails[f.Reason],
	}
}

// reasonDetails maps refusal reasons to explanations for callers.
var reasonDetails = map[string]string{
	core.ReasonBadKey:         "send the organisation's API key as Authorization: Bearer KEY",
	core.ReasonUnknownModel:   "no service of the configuration serves this model",
	core.ReasonUnknownService: "the configuration has no plain service of this name",
	core.ReasonForbidden:      "the organisation may not call this service",
	core.ReasonMaxTokens:      "max_tokens must lie between 0 and the organisation's max_output_tokens; 0 or none stands for that limit",
	core.ReasonNoKey:          HeaderNotRepeatable + ": true needs an " + HeaderIdempotencyKey,
	core.ReasonBadHandle:      "Last-Event-ID is not an event id of this organisation's streams",
	core.ReasonPoison:         "upstreams crashed while they ran this request",
}

func writeProblem(w http.ResponseWriter, p problem) {
	p.Title = http.StatusText(p.Status)
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(HeaderOutcome, p.Outcome)
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter))))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // an error means that the caller has disconnected
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // an error means that the caller has disconnected
}

// writeTimeout is the timeout of each write to a caller, so that a caller that stops reading
// does not keep its request open for ever.
const writeTimeout = 10 * time.Second

// bodyTimeout is the maximum time for a caller to send its body.
const bodyTimeout = 30 * time.Second
