// Package service is a small stand-in for a plain service that accepts bookings.
// It records every call that it executes and does not deduplicate calls: a booking
// that is sent twice is executed twice, so that a test can detect the repetition.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/slowdown"
)

// HeaderBooking is the header that carries the booking's key to the service. It is not
// Idempotency-Key because HTTP libraries repeat requests that have that header.
const HeaderBooking = "X-Booking-Key"

// Headers with what the upstream states about itself: its rate limit, and "1" if it leaves.
const (
	headerRateLimit = "X-Rate-Limit"
	headerLeaving   = "X-Leaving"
)

// Faults selects the faults that the stand-in injects. The zero value injects none.
type Faults struct {
	// Delay is added before a call is executed.
	Delay time.Duration `json:"delay"`
	// LoseAnswers is the number of the next calls that are executed but whose connection
	// is closed without a response.
	LoseAnswers int `json:"lose_answers"`
	// Hang is the number of the next calls that are executed but get no response.
	Hang int `json:"hang"`
	// Redirect is the number of the next calls that are executed and get a
	// redirect to the same path, which HTTP libraries follow by repeating the call.
	Redirect int `json:"redirect"`
	// RateLimit is the rate of requests per second that the upstream states in its responses and its
	// load report; 0 states none. It is not enforced.
	RateLimit float64 `json:"rate_limit"`
	// Shed is the pause in seconds that the upstream asks for while it rejects all calls with status
	// 503; 0 accepts them.
	Shed float64 `json:"shed"`
	// Slowdown is the factor by which calls take longer than WorkTime, for SlowFor from the moment at
	// which the faults are set; 0 is as usual. The load report states it while it lasts.
	Slowdown float64       `json:"slowdown"`
	SlowFor  time.Duration `json:"slow_for"`
	// WorkTime is the time that a call takes as usual.
	WorkTime time.Duration `json:"work_time"`
}

// Call is one executed call.
type Call struct {
	Path string
	Key  string // booking key of HeaderBooking
	Body string
	// At is the time of the execution.
	At time.Time
}

// Service is the stand-in for one upstream of a plain service.
type Service struct {
	name string
	// maxCalls is the number of concurrent calls that the load report states as
	// capacity. It is not enforced.
	maxCalls int

	mu          sync.Mutex
	boot        string
	leaving     bool
	faults      Faults
	slowUntil   time.Time
	calls       []Call
	activeCalls int
	// shed counts the calls rejected because of Faults.Shed.
	shed int
}

// New returns an upstream that reports a capacity of maxCalls concurrent calls.
func New(name string, maxCalls int) *Service {
	return &Service{name: name, maxCalls: maxCalls, boot: fmt.Sprintf("%016x", rand.Uint64())}
}

// Handler returns the HTTP handler of the service and of its control paths.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", s.getLoad)
	mux.HandleFunc("POST /faults", s.postFaults)
	mux.HandleFunc("GET /calls", s.getCalls)
	mux.HandleFunc("/", s.call)
	return mux
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.slowUntil = f, time.Now().Add(f.SlowFor)
}

// SetLeaving marks the upstream as about to be reclaimed.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Leaving reports whether the upstream is about to be reclaimed.
func (s *Service) Leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// Calls returns the executed calls in order.
func (s *Service) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call(nil), s.calls...)
}

// call executes one call and responds to it as the injected faults require.
func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.activeCalls++
	delay := s.faults.Delay + time.Duration(float64(s.faults.WorkTime)*s.slowdown())
	if s.faults.RateLimit > 0 {
		w.Header().Set(headerRateLimit, strconv.FormatFloat(s.faults.RateLimit, 'f', -1, 64))
	}
	if s.leaving {
		w.Header().Set(headerLeaving, "1")
	}
	s.mu.Unlock()
	defer s.endCall()
	time.Sleep(delay)
	if s.sheds(w) {
		return
	}
	if s.takeRedirect() {
		s.execute(Call{Path: r.URL.Path, Key: r.Header.Get(HeaderBooking), Body: string(body)})
		http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
		return
	}
	n, drop, hang := s.execute(Call{Path: r.URL.Path, Key: r.Header.Get(HeaderBooking), Body: string(body)})
	if hang {
		<-r.Context().Done()
		return
	}
	if drop {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, `{"worker":%q,"booking":%d}`, s.name, n)
}

// slowdown returns the factor by which work takes longer than usual at the moment. The caller holds
// the lock.
func (s *Service) slowdown() float64 {
	if s.faults.Slowdown <= 0 || !time.Now().Before(s.slowUntil) {
		return slowdown.Usual
	}
	return s.faults.Slowdown
}

// sheds rejects the call if the upstream sheds load, and reports whether it did.
func (s *Service) sheds(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Shed <= 0 {
		return false
	}
	s.shed++
	w.Header().Set("Retry-After", strconv.FormatFloat(s.faults.Shed, 'f', -1, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// Shed returns the number of calls that were rejected because the upstream shed load.
func (s *Service) Shed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shed
}

// takeRedirect reports whether the call is to be redirected, and if so reduces the number
// of calls still to be redirected.
func (s *Service) takeRedirect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Redirect == 0 {
		return false
	}
	s.faults.Redirect--
	return true
}

func (s *Service) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeCalls--
}

// execute records the call, which counts as executed from then on. It returns the number
// of calls so far and whether the response is to be dropped or to hang.
func (s *Service) execute(c Call) (n int, drop, hang bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.At = time.Now()
	s.calls = append(s.calls, c)
	switch {
	case s.faults.LoseAnswers > 0:
		s.faults.LoseAnswers--
		drop = true
	case s.faults.Hang > 0:
		s.faults.Hang--
		hang = true
	}
	return len(s.calls), drop, hang
}

func (s *Service) getLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	r := placement.Report{
		Upstream: s.name, Boot: s.boot, Leaving: s.leaving, Capacity: s.maxCalls,
		MaxBatch: s.maxCalls, Running: s.activeCalls, Used: s.activeCalls,
	}
	if rate := s.faults.RateLimit; rate > 0 {
		r.StatedRate = &rate
	}
	if factor := s.slowdown(); factor != slowdown.Usual {
		r.Slowdown.Factor = factor
	}
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(r) // an error means that the caller has disconnected
}

func (s *Service) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Service) getCalls(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Calls()) // an error means that the caller has disconnected
}
