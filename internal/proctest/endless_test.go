package proctest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/client"
	"mulberrylug.example/mulberrylug/internal/core/membership"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/demo"
	internalplatform "mulberrylug.example/mulberrylug/internal/platform"
	"mulberrylug.example/mulberrylug/internal/standin"
)

// endlessUpstream is an upstream of the project's own interface that responds without an end.
type endlessUpstream struct {
	name string
	// kind is how it responds to calls, and to requests for its load if reports is set.
	kind    atomic.Pointer[standin.Endless]
	reports atomic.Bool
	calls   atomic.Int64
}

// ServeHTTP implements http.Handler.
func (u *endlessUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" && !u.reports.Load() {
		_ = json.NewEncoder(w).Encode(placement.Report{Upstream: u.name, Boot: "b", Capacity: 50_000, MaxBatch: 16}) // an error means that the caller has disconnected
		return
	}
	u.calls.Add(1)
	u.kind.Load().Send(w, "", endlessMost)
}

// startEndless starts an upstream that responds without an end, and announces it to the platform.
func (d *deployment) startEndless(t *testing.T, name, role string) *endlessUpstream {
	t.Helper()
	u := &endlessUpstream{name: name}
	u.kind.Store(&standin.EndlessHeads[0])
	s, err := standin.Start("127.0.0.1:0", u)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	platform := internalplatform.NewClient(d.platformURL)
	go standin.Every(t.Context(), time.Second, func() {
		_ = platform.Announce(context.Background(), membership.Member{Name: name, Role: role, DataCentre: dataCentre, Address: s.Address(), State: membership.Live}) // announced again a second later
	})
	return u
}

// On the project's own interface, an engine and a booking service send bytes without an end, in calls and in their
// load reports. Instances that read on exceed their memory, and an answer of which only the beginning is read must
// not look complete.
func TestBytesWithoutEnd(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	upstreams := []*endlessUpstream{
		d.startEndless(t, fmt.Sprintf("engine-%d", engineCount+1), "assistant"), d.startEndless(t, "desk-2", "order-desk"),
	}
	d.applyText(t, demo.Configuration(demo.FleetOptions{Engines: engineCount + 1, Services: 2}))
	before := d.peaksKB(t)
	l := newLoad(t, d)
	n := 0
	for k, kind := range append(append([]standin.Endless{}, standin.EndlessHeads...), standin.EndlessBodies...) {
		for _, u := range upstreams {
			u.kind.Store(&kind)
			u.reports.Store(k%3 == 2)
		}
		for range 6 {
			l.stream(n)
			for range 3 {
				l.book(fmt.Sprintf("endless-%d", n))
				n++
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	results := l.wait()
	checkResults(t, d, results)
	served := 0
	for _, r := range results {
		if r.outcome == client.Done {
			served++
		}
	}
	if served < len(results)/2 {
		t.Errorf("%d of %d requests were served, want most of them: sound upstreams took part", served, len(results))
	}
	for k, peak := range d.peaksKB(t) {
		t.Logf("%s: peak memory %d KB, %d KB before; %d and %d calls without an end", d.instances[k].name, peak, before[k], upstreams[0].calls.Load(), upstreams[1].calls.Load())
		if rise := peak - before[k]; rise > memoryRise {
			t.Errorf("%s: the peak memory has risen by %d KB to %d KB, want at most %d KB more", d.instances[k].name, rise, peak, memoryRise)
		}
	}
}

// peaksKB returns the peak memory of each instance in KB.
func (d *deployment) peaksKB(t *testing.T) (peaks []int) {
	for _, p := range d.instances {
		peaks = append(peaks, p.peakMemoryKB(t))
	}
	return peaks
}
