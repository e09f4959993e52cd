package hosting

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// CrashPart is a part of prompts that crashes each engine that begins to write an answer on it. Another
// engine takes its place after Downtime.
type CrashPart struct {
	// ID is the id of the part in the header Prompt-Prefix.
	ID       string
	Downtime time.Duration
	// crashes counts the crashes.
	crashes atomic.Int64
}

// Crashes returns the number of engines that have crashed.
func (p *CrashPart) Crashes() int { return int(p.crashes.Load()) }

// In reports whether a request's prompt contains the part, not as its last part.
func (p *CrashPart) In(h http.Header) bool {
	parts := strings.Split(h.Get("Prompt-Prefix"), ",")
	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(part, ":"); id == p.ID {
			return true
		}
	}
	return false
}

// SetCrashPart sets the part that crashes engines, or none if p is nil.
func (w *World) SetCrashPart(p *CrashPart) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashPart = p
}

// crashOn crashes an engine if a request's prompt contains the part that does so, and reports whether it did.
func (w *World) crashOn(k *Worker, h http.Header) bool {
	w.mu.Lock()
	p := w.crashPart
	w.mu.Unlock()
	if p == nil || !p.In(h) {
		return false
	}
	if k.crashOnce() {
		n := p.crashes.Add(1)
		go w.replace(k, fmt.Sprintf("%s-%d", k.ID, n), p.Downtime)
	}
	return true
}

// replace starts an engine like one that has crashed, after a time.
func (w *World) replace(k *Worker, id string, after time.Duration) {
	time.Sleep(after)
	w.Table.Remove("servers", k.ID)
	_, _ = w.Add(id, k.Service, func(other *Worker) { // without it the pool has an engine less
		other.Zone, other.EventEvery, other.EventCount = k.Zone, k.EventEvery, k.EventCount
	})
}
