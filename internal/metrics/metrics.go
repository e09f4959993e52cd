// Package metrics holds the counters and latency histograms of one instance and serves them as
// JSON. They are not published in expvar's global registry, as several instances may run in one
// process.
package metrics

import (
	"bytes"
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyMillis is the maximum latency that a histogram records, in milliseconds; longer
	// latencies are recorded as this value. The longest responses take tens of seconds.
	maxLatencyMillis = 120_000
	// significantDigits is the precision of a histogram in decimal digits. With this precision a
	// histogram takes 20 KB.
	significantDigits = 2
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

// Set registers a metric whose value is computed each time the metrics are read.
func (m *Metrics) Set(name string, value expvar.Var) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.root.Set(name, value)
}

// Observe adds a duration to the histogram of a label in a group. The group's name ends in
// _milliseconds.
func (m *Metrics) Observe(group, label string, d time.Duration) {
	g := m.group(group)
	m.mu.Lock()
	h, ok := g.Get(label).(*histogram)
	if !ok {
		h = &histogram{values: hdrhistogram.New(1, maxLatencyMillis, significantDigits)}
		g.Set(label, h)
	}
	m.mu.Unlock()
	h.record(d)
}

// ServeHTTP writes the metrics as JSON, as expvar.Handler does.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write(m.json()) // an error means that the reader has disconnected
}

// json returns the metrics as JSON. Values are computed without holding the lock of the names: the
// computation of a metric takes the lock of the state that it reads, and whoever holds that lock may
// be adding the first metric of a group.
func (m *Metrics) json() []byte {
	var all []expvar.KeyValue
	m.root.Do(func(kv expvar.KeyValue) { all = append(all, kv) })
	var out bytes.Buffer
	out.WriteString("{")
	for k, kv := range all {
		if k > 0 {
			out.WriteString(", ")
		}
		fmt.Fprintf(&out, "%q: %s", kv.Key, kv.Value)
	}
	out.WriteString("}")
	return out.Bytes()
}

// histogram is a latency histogram that implements expvar.Var.
type histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

func (h *histogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Values out of range are set to the nearest limit, so RecordValue can't fail.
	_ = h.values.RecordValue(min(max(d.Milliseconds(), 1), maxLatencyMillis))
}

// quantiles are the values of a histogram that are served. All but Count are in milliseconds.
type quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	P999  int64 `json:"p999"`
	Max   int64 `json:"max"`
}

// String returns the histogram's quantiles as JSON. It implements expvar.Var.
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
