package hosting

import (
	"fmt"
	"math"
	"net/http"
	"time"
)

// Spells are periods in which work on an upstream's machine takes longer than usual.
type Spells struct {
	// Factor is how many times as long as usual work takes in a spell. 0 means that the upstream has no
	// spells and does not state its speed.
	Factor float64
	// Every is the time from the start of a spell to that of the next one, and Share the part of it that
	// the spell lasts, from 0 to 1.
	Every time.Duration
	Share float64
	// Since is when the first spell starts.
	Since time.Time
}

// At returns how many times as long as usual work takes at a time.
func (s Spells) At(now time.Time) float64 {
	if s.Factor == 0 || s.Every <= 0 || now.Before(s.Since) {
		return 1
	}
	if now.Sub(s.Since)%s.Every < time.Duration(s.Share*float64(s.Every)) {
		return s.Factor
	}
	return 1
}

// SetSpells makes the upstream slow for a share of the time, and state that as the fourth field of its
// load.
func (w *Worker) SetSpells(s Spells) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spells = s
}

// slowdown returns how many times as long as usual work takes at present.
func (w *Worker) slowdown() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.spells.At(time.Now())
}

// stateLoad adds the load to the head of a response of a plain service.
func (w *Worker) stateLoad(h http.Header) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h.Set("Server-Load", "1,0,24")
	w.stateSpeed(h)
}

// stateSpeed adds the load with the current speed to the head of a response if the upstream has spells.
// The caller holds the lock.
func (w *Worker) stateSpeed(h http.Header) {
	if w.spells.Factor > 0 {
		h.Set("Server-Load", fmt.Sprintf("1,0,24,%d", int(math.Round(100*w.spells.At(time.Now())))))
	}
}
