package server

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"mulberrylug.example/mulberrylug/internal/apply"
	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/daemon"
)

const (
	// operatorTimeout is the timeout of an operator's read-only request.
	operatorTimeout = 5 * time.Second
	// applyTimeout is the timeout of an apply, including the reads that confirm it.
	applyTimeout = 15 * time.Second
	// maxConfigBody is the maximum size of an apply request, in bytes. A configuration with
	// 31,000 organisations has about 12 MB.
	maxConfigBody = 64 << 20
	// maxCordonBody is the maximum size of a cordon request, in bytes.
	maxCordonBody = 64 << 10
)

// operatorAPI contains the HTTP handlers for operators.
type operatorAPI struct {
	d     *daemon.Daemon
	store apply.Store
}

// Operators returns the HTTP handler for operators: metrics, status, explain, configuration,
// apply, cordons and drain.
func Operators(d *daemon.Daemon, store apply.Store) http.Handler {
	s := &operatorAPI{d: d, store: store}
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", d.Metrics())
	mux.HandleFunc("GET /v1/status", s.status)
	mux.HandleFunc("GET /v1/explain/{request}", s.explain)
	mux.HandleFunc("GET /v1/config", s.config)
	mux.HandleFunc("POST /v1/apply", s.apply)
	mux.HandleFunc("GET /v1/cordons", s.cordons)
	mux.HandleFunc("POST /v1/cordons", s.cordon)
	mux.HandleFunc("POST /v1/drain", s.drain)
	return mux
}

func (s *operatorAPI) status(w http.ResponseWriter, r *http.Request) {
	st, err := s.d.Status(r.Context())
	if err != nil {
		breakOff() // the operator has disconnected, or the instance has stopped
	}
	writeJSON(w, http.StatusOK, st)
}

func (s *operatorAPI) explain(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	lines, err := s.d.Explain(ctx, r.PathValue("request"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
		return
	}
	writeJSON(w, http.StatusOK, lines)
}

func (s *operatorAPI) apply(w http.ResponseWriter, r *http.Request) {
	var req apply.Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxConfigBody)).Decode(&req); err != nil {
		writeJSON(w, http.StatusBadRequest, apply.Result{Failed: "nothing was applied: decode request: " + err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout)
	defer cancel()
	p, err := apply.Apply(ctx, s.store, req)
	if err == nil {
		s.applyLocally(p, req.Files)
	}
	status, response := apply.ResultOf(p, err)
	writeJSON(w, status, response)
}

// applyLocally passes an accepted configuration change to this instance immediately. If the apply
// request was a repeat, a newer configuration may be in force by now; the instance compares the
// numbers.
func (s *operatorAPI) applyLocally(p core.ConfigPointer, files []config.File) {
	cfg, err := config.Parse(files)
	if err != nil {
		return // apply has already refused files that don't parse
	}
	if object, hash, err := cfg.Encode(); err == nil && hash == p.Hash {
		s.d.ConfigApplied(p, object)
	}
}

// cordon handles a request to change the cordons. Accepted changes are announced to the other
// instances at once.
func (s *operatorAPI) cordon(w http.ResponseWriter, r *http.Request) {
	var req apply.CordonRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCordonBody)).Decode(&req); err != nil {
		writeJSON(w, http.StatusBadRequest, apply.Result{Failed: "nothing was changed: decode request: " + err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout)
	defer cancel()
	p, err := apply.Cordon(ctx, s.store, req)
	if err == nil {
		s.d.ConfigApplied(p, nil)
	}
	status, response := apply.ResultOf(p, err)
	writeJSON(w, status, response)
}

// cordons returns this instance's view of the cordoned data centres.
func (s *operatorAPI) cordons(w http.ResponseWriter, r *http.Request) {
	st, err := s.d.Status(r.Context())
	if err != nil {
		breakOff() // the operator has disconnected, or the instance has stopped
	}
	writeJSON(w, http.StatusOK, st.Cordons)
}

func (s *operatorAPI) config(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	number, cfg, err := apply.Current(ctx, s.store)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, apply.InForce{Number: number, Config: cfg})
}

func (s *operatorAPI) drain(w http.ResponseWriter, _ *http.Request) {
	s.d.Drain()
	w.WriteHeader(http.StatusAccepted)
}
