// Package metrics holds the counters and latency histograms of one instance and
// serves them as JSON. They are not published globally, as several instances
// may run in one process.
package metrics

import (
	"encoding/json"
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longest bounds the latencies that are told apart, in milliseconds: the
	// longest answers take tens of seconds.
	longest = 120_000
	// digits is the precision of a histogram; a histogram takes 20 KB.
	digits = 2
)

// Metrics are the counters and histograms of one instance.
type Metrics struct {
	mu   sync.Mutex
	root *expvar.Map
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics { return &Metrics{root: new(expvar.Map).Init()} }

// Count adds one to the counter of a label in a group.
func (m *Metrics) Count(group, label string) { m.Add(group, label, 1) }

// Add adds n to the counter of a label in a group.
func (m *Metrics) Add(group, label string, n int64) { m.group(group).Add(label, n) }

func (m *Metrics) group(name string) *expvar.Map {
	m.mu.Lock()
	defer m.mu.Unlock()
	g, ok := m.root.Get(name).(*expvar.Map)
	if !ok {
		g = new(expvar.Map).Init()
		m.root.Set(name, g)
	}
	return g
}

// Set serves a value that is asked for at each reading.
func (m *Metrics) Set(name string, value expvar.Var) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.root.Set(name, value)
}

// Observe adds a duration to the histogram of a label in a group, whose name
// ends in _milliseconds.
func (m *Metrics) Observe(group, label string, d time.Duration) {
	g := m.group(group)
	m.mu.Lock()
	h, ok := g.Get(label).(*histogram)
	if !ok {
		h = &histogram{values: hdrhistogram.New(1, longest, digits)}
		g.Set(label, h)
	}
	m.mu.Unlock()
	h.record(d)
}

// ServeHTTP writes the metrics as JSON, as expvar.Handler does.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte(m.root.String())) // an error means the reader left
}

// histogram is a latency histogram as a metric.
type histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

func (h *histogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Values out of range are set to the nearest bound, so no error is left.
	_ = h.values.RecordValue(min(max(d.Milliseconds(), 1), longest))
}

// quantiles are the parts of a histogram that are served, in milliseconds.
type quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	P999  int64 `json:"p999"`
	Max   int64 `json:"max"`
}

// String implements expvar.Var.
func (h *histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.values
	raw, err := json.Marshal(quantiles{
		Count: v.TotalCount(), P50: v.ValueAtQuantile(50), P90: v.ValueAtQuantile(90),
		P99: v.ValueAtQuantile(99), P999: v.ValueAtQuantile(99.9), Max: v.Max(),
	})
	if err != nil {
		return "null"
	}
	return string(raw)
}
