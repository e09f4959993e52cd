package daemon

import (
	"expvar"
	"runtime"
	"time"
)

// addGauges registers the metrics whose values are computed each time the metrics are read. The
// name of a metric ends in its unit.
func (d *Daemon) addGauges() {
	started := time.Now()
	d.metrics.Set("uptime_seconds", expvar.Func(func() any { return time.Since(started).Seconds() }))
	d.metrics.Set("loop_waiting_events", expvar.Func(func() any { return len(d.loop.queue) }))
	d.metrics.Set("open_callers", expvar.Func(func() any { return d.sinks.len() }))
	d.metrics.Set("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
	d.metrics.Set("heap_bytes", expvar.Func(func() any {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}))
}
