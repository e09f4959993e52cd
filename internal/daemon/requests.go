package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/metrics"
)

// newRequestID returns a request id that contains this instance's name and is unique in the
// deployment: the boot id in it differs between boots of an instance under the same name.
func (d *Daemon) newRequestID() string {
	return fmt.Sprintf("%s:%s:%d", d.settings.Name, d.boot, d.lastRequest.Add(1))
}

// Request passes a caller's request to the core. It returns the request's id and the sink that
// receives the result. Leave must be called when the request has ended.
func (d *Daemon) Request(r core.CallerRequest) (string, *Sink) {
	r.ID = d.newRequestID()
	s := d.sinks.add(r.ID)
	d.loop.submit(r)
	return r.ID, s
}

// Resume passes a caller's request to resume a stream after lastEventID to the core. Leave must
// be called when the request has ended.
func (d *Daemon) Resume(apiKey, lastEventID string) (string, *Sink) {
	id := d.newRequestID()
	s := d.sinks.add(id)
	d.loop.submit(core.CallerResume{ID: id, APIKey: apiKey, LastEventID: lastEventID})
	return id, s
}

// Leave removes a request's sink. If the request has no outcome yet, or the caller fell behind,
// Leave notifies the core that the caller has disconnected.
func (d *Daemon) Leave(id string, s *Sink) {
	d.sinks.remove(id)
	if _, finish := s.Take(); finish == nil || s.Overflowed() {
		d.loop.submit(core.CallerDisconnected{ID: id})
	}
}

// Entries returns the addresses to which callers with an API key should connect. apiKey is ""
// for a caller that sent none.
func (d *Daemon) Entries(ctx context.Context, apiKey string) (core.Entries, error) {
	var e core.Entries
	err := d.loop.call(ctx, func(now time.Time, inst *core.Instance) []core.Action {
		e = inst.Entries(now, apiKey)
		return nil
	})
	if err != nil {
		return core.Entries{}, err // e is not returned: the loop may still write to it
	}
	return e, nil
}

// Status is the state of an instance as shown to operators.
type Status struct {
	Name         string `json:"name"`
	DataCentre   string `json:"data_centre"`
	Boot         string `json:"boot"`
	Leaving      bool   `json:"leaving"`
	ConfigNumber int64  `json:"config_number"`
	ConfigHash   string `json:"config_hash"`
	Requests     int    `json:"requests"`
	Instances    int    `json:"instances"`
	// Ready reports whether new requests are accepted.
	Ready   bool    `json:"ready"`
	Cordons Cordons `json:"cordons"`
}

// Cordons is an instance's view of the cordoned data centres.
type Cordons struct {
	DataCentres []string `json:"data_centres"`
	// Number is the configuration version that the list belongs to. Age is the time in seconds
	// since it was last confirmed that no newer version is in force.
	Number int64   `json:"config_number"`
	Age    float64 `json:"age_seconds"`
}

// Status returns the state of the instance.
func (d *Daemon) Status(ctx context.Context) (Status, error) {
	st := Status{Name: d.settings.Name, DataCentre: d.settings.DataCentre, Boot: d.boot}
	err := d.loop.call(ctx, func(now time.Time, inst *core.Instance) []core.Action {
		st.Ready = inst.Ready(now)
		st.Leaving, st.ConfigNumber, st.ConfigHash = inst.Leaving(), inst.ConfigNumber(), inst.ConfigHash()
		st.Requests, st.Instances = inst.Requests(), inst.Instances()
		c := inst.Cordons()
		st.Cordons = Cordons{DataCentres: c.DataCentres, Number: c.Version, Age: inst.ConfirmedAge(now).Seconds()}
		return nil
	})
	if err != nil {
		return Status{}, err // st is not returned: the loop may still write to it
	}
	return st, nil
}

// ConfigApplied notifies the instance of a configuration change that an operator applied through
// it.
func (d *Daemon) ConfigApplied(p core.ConfigPointer, object []byte) {
	d.loop.submit(core.ConfigApplied{Pointer: p, Object: object})
}

// Drain makes the instance leave once its requests have ended. No request is interrupted.
func (d *Daemon) Drain() { d.loop.submit(core.Drain{}) }

// Exited returns a channel that is closed when the instance has drained.
func (d *Daemon) Exited() <-chan struct{} { return d.exited }

// Metrics returns the instance's counters.
func (d *Daemon) Metrics() *metrics.Metrics { return d.metrics }

// Freeze blocks the instance's loop for the given duration, to simulate a paused process.
func (d *Daemon) Freeze(duration time.Duration) {
	d.loop.pause.Lock()
	defer d.loop.pause.Unlock()
	time.Sleep(duration)
}

// Kill makes the instance close all connections immediately when the context of Serve ends, to
// simulate a process that was killed.
func (d *Daemon) Kill() { d.killed.Store(true) }

// pendingExplains holds the operators' explain requests that wait for an instance's response.
// responses holds, by the request's id, the channel that receives the response.
type pendingExplains struct {
	mu        sync.Mutex
	lastID    uint64
	responses map[uint64]chan []string
}

func (e *pendingExplains) open() (uint64, chan []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastID++
	ch := make(chan []string, 1)
	e.responses[e.lastID] = ch
	return e.lastID, ch
}

func (e *pendingExplains) close(id uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.responses, id)
}

func (e *pendingExplains) respond(id uint64, lines []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ch := e.responses[id]; ch != nil {
		ch <- lines
		delete(e.responses, id)
	}
}

// Explain returns the recorded decisions on a request. They are requested from the instance that
// the request's id names.
func (d *Daemon) Explain(ctx context.Context, request string) ([]string, error) {
	id, ch := d.explains.open()
	defer d.explains.close(id)
	err := d.loop.call(ctx, func(_ time.Time, inst *core.Instance) []core.Action {
		return inst.RequestExplain(id, request)
	})
	if err != nil {
		return nil, fmt.Errorf("explain %s: %w", request, err)
	}
	select {
	case lines := <-ch:
		return lines, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("explain %s: no response from the instance named in the request id: %w", request, ctx.Err())
	}
}
