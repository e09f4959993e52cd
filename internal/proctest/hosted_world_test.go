package proctest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// Sizes of a fixture. They are small because several tests run in parallel. streamEvents is the
// number of events in a streamed response.
const (
	hostedInstanceCount = 3
	poolUpstreams       = 4
	deskUpstreams       = 3
	streamEvents        = 40
	briefSteps          = 5
)

// fixture is a stand-in hosting platform with its upstreams, and instances in separate processes.
type fixture struct {
	*hosting.World
	// machines holds the addresses and settings of each instance, and procs its process at the
	// same index.
	machines []hosting.Machine
	procs    []*process
	// pool holds the engines (service hosting.Pool), desk the upstreams of the plain service
	// hosting.Desk.
	pool   []*hosting.Worker
	desk   []*hosting.Worker
	builds builds
}

// newFixture starts a platform, its upstreams and instances, and waits until each instance is
// ready.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureOfBuild(t, "")
}

// newFixtureOfBuild does the same as newFixture with all instances of one build. If build is "",
// the instances alternate between the build under test and the build of -proctest.other.
func newFixtureOfBuild(t *testing.T, build string) *fixture {
	t.Helper()
	return newFixtureWith(t, build, func(*hosting.World) {}, func(*hosting.Worker) {})
}

// newFixtureWith does the same as newFixtureOfBuild; prepare changes the platform before the first configuration,
// and engine each engine before its start.
func newFixtureWith(t *testing.T, build string, prepare func(*hosting.World), engine func(*hosting.Worker)) *fixture {
	t.Helper()
	base := hosting.NewWorld(t.TempDir())
	t.Cleanup(base.Close)
	prepare(base)
	f := &fixture{World: base, builds: builds{fixed: build}}
	base.Configure(nil)
	for k := range poolUpstreams {
		f.pool = append(f.pool, f.addUpstream(t, fmt.Sprintf("engine-%d", k), hosting.Pool, func(w *hosting.Worker) {
			w.EventEvery, w.EventCount, w.CopyTime = 25*time.Millisecond, streamEvents, 30*time.Millisecond
			engine(w)
		}))
	}
	for k := range deskUpstreams {
		f.desk = append(f.desk, f.addUpstream(t, fmt.Sprintf("desk-%d", k), hosting.Desk, func(w *hosting.Worker) {
			w.Work = 10 * time.Millisecond
		}))
	}
	for k := range hostedInstanceCount {
		f.addInstance(t, fmt.Sprintf("entry-%d", k))
	}
	f.waitReady(t)
	return f
}

func (f *fixture) addUpstream(t *testing.T, id, service string, configure func(*hosting.Worker)) *hosting.Worker {
	t.Helper()
	k, err := f.Add(id, service, configure)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// newFixtureWithDataCentres starts a platform with the given data centres, mapped to their
// regions, and waits until each instance is ready. Each data centre has perDataCentre engines,
// plain upstreams and instances. prepare, if not nil, changes the platform before the first
// configuration.
func newFixtureWithDataCentres(t *testing.T, dataCentres map[string]string, perDataCentre int, prepare func(*hosting.World)) *fixture {
	t.Helper()
	base := hosting.NewWorld(t.TempDir())
	t.Cleanup(base.Close)
	base.Zones = dataCentres
	f := &fixture{World: base}
	if prepare != nil {
		prepare(base)
	}
	base.Configure(nil)
	for _, dc := range slices.Sorted(maps.Keys(dataCentres)) {
		for k := range perDataCentre {
			f.pool = append(f.pool, f.addUpstream(t, fmt.Sprintf("engine-%s-%d", dc, k), hosting.Pool, func(w *hosting.Worker) {
				w.Zone, w.EventEvery, w.EventCount, w.CopyTime = dc, 25*time.Millisecond, streamEvents, 30*time.Millisecond
			}))
			f.desk = append(f.desk, f.addUpstream(t, fmt.Sprintf("desk-%s-%d", dc, k), hosting.Desk, func(w *hosting.Worker) {
				w.Zone, w.Work = dc, 10*time.Millisecond
			}))
			f.addInstanceIn(t, fmt.Sprintf("entry-%s-%d", dc, k), dc)
		}
	}
	for _, m := range f.machines {
		testkit.Eventually(t, waitTimeout, m.Name+" is ready and lists all instances", func() bool {
			return f.ready(m) && len(distinct(f.resolveFrom(m, "elsewhere", "elsewhere"))) == len(f.machines)
		})
	}
	return f
}

func (f *fixture) addInstance(t *testing.T, name string) {
	t.Helper()
	f.addInstanceIn(t, name, hosting.DefaultZone)
}

func (f *fixture) addInstanceIn(t *testing.T, name, dc string) {
	t.Helper()
	m, err := f.MachineIn(name, dc)
	if err != nil {
		t.Fatal(err)
	}
	f.machines = append(f.machines, m)
	f.procs = append(f.procs, f.startInstance(t, m))
}

func (f *fixture) startInstance(t *testing.T, m hosting.Machine) *process {
	t.Helper()
	return startWith(t, f.builds.next(), m.Name, []string{"MULBERRYLUG_SETTINGS=" + m.Settings}, "serve")
}

// ready reports whether an instance's readiness check succeeds.
func (f *fixture) ready(m hosting.Machine) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Ready+"/v1/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// resolve returns the callers' addresses in an instance's directory response for callers in the
// default data centre; nil if there is no response.
func (f *fixture) resolve(m hosting.Machine) []string {
	return f.resolveFrom(m, hosting.DefaultRegion, hosting.DefaultZone)
}

// resolveFrom does the same as resolve for callers in the given region and data centre.
func (f *fixture) resolveFrom(m hosting.Machine, region, dc string) []string {
	var out struct {
		Addresses []string `json:"addresses"`
	}
	url := "http://" + m.Entries + "/v1/resolve?name=" + hosting.Host + "&region=" + region + "&zone=" + dc
	if err := getJSON(url, &out); err != nil {
		return nil
	}
	return out.Addresses
}

// distinct returns the different addresses of a directory response, sorted. While an instance is loaded,
// as at its start on a busy machine, the others are listed several times.
func distinct(addresses []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(addresses)))
}

func (f *fixture) waitReady(t *testing.T) {
	t.Helper()
	for _, m := range f.machines {
		testkit.Eventually(t, waitTimeout, m.Name+" is ready and lists all instances", func() bool {
			return f.ready(m) && len(distinct(f.resolve(m))) == len(f.machines)
		})
	}
}

// call is a caller's request. timeout is the value of its Deadline-Ms header; the client waits 5 s
// longer.
type call struct {
	id, method, path, key, body string
	header                      map[string]string
	timeout                     time.Duration
	// chunked is set if the body is sent in chunks. sendOver is the time over which it is sent; 0 sends it at once.
	chunked  bool
	sendOver time.Duration
	// leaveAfter is the time after which the caller closes its connection; 0 never.
	leaveAfter time.Duration
}

// result is the response that a caller received.
type result struct {
	status int
	header http.Header
	body   string
	// truncated is set if the connection ended before the end of the body.
	truncated bool
	err       error
}

// do sends a request on a new connection.
func (f *fixture) do(m hosting.Machine, c call) result {
	return f.doOn(&http.Transport{DisableKeepAlives: true, DisableCompression: true}, m, c)
}

// doOn sends a request through a transport.
func (f *fixture) doOn(transport http.RoundTripper, m hosting.Machine, c call) result {
	patience := c.timeout + 5*time.Second
	if c.leaveAfter > 0 {
		patience = c.leaveAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+m.Callers+c.path, bytes.NewBufferString(c.body))
	if err != nil {
		return result{err: err}
	}
	if c.sendOver > 0 {
		req.Body = io.NopCloser(&pacedReader{text: c.body, over: c.sendOver, began: time.Now()})
	}
	if c.chunked {
		req.ContentLength = -1
	}
	req.Host = hosting.Host
	req.Header.Set("Attempt-Id", c.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(c.timeout.Milliseconds()))
	if c.key != "" {
		req.Header.Set("Credential", c.key)
	}
	for k, v := range c.header {
		req.Header.Set(k, v)
	}
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, header: resp.Header, body: string(body), truncated: err != nil, err: err}
}

// pacedReader reads a text evenly over a time.
type pacedReader struct {
	text  string
	over  time.Duration
	began time.Time
	read  int
}

// Read implements io.Reader.
func (r *pacedReader) Read(p []byte) (int, error) {
	if r.read == len(r.text) {
		return 0, io.EOF
	}
	due := r.over * time.Duration(r.read) / time.Duration(len(r.text))
	time.Sleep(time.Until(r.began.Add(due)))
	n := copy(p, r.text[r.read:])
	r.read += n
	return n, nil
}

// generation returns a request on the route "draft": a streamed generation that may run only once.
func generation(id string) call {
	return call{
		id: id, method: http.MethodPost, path: hosting.PathDraft + "d?x=%2F", key: hosting.Key, body: "prompt of " + id, timeout: 20 * time.Second,
		header: map[string]string{"Token-Counts": fmt.Sprintf("1000,%d", 4*streamEvents), "Model": "m"},
	}
}

// booking returns a request to the plain service that may run only once.
func booking(id string) call {
	return call{id: id, method: http.MethodPost, path: hosting.PathBooking + "b", key: hosting.Key, body: "book " + id, timeout: 3 * time.Second}
}

// lookUp returns a request to the plain service that may be retried.
func lookUp(id string) call {
	return call{id: id, method: http.MethodGet, path: hosting.PathLookUp + "l?q=1", key: hosting.Key, timeout: 3 * time.Second}
}

// streamBody returns the complete body of a request's stream.
func streamBody(id string) string { return streamBodyAfter(id, 0) }

// streamBodyAfter returns what a stream brings after an event.
func streamBodyAfter(id string, after int) string {
	var b strings.Builder
	for n := after + 1; n <= streamEvents; n++ {
		b.WriteString(hosting.Event(id, n))
	}
	return b.String()
}

// unmarked returns a stream without the marks of software versions and runs.
func unmarked(body string) string {
	var b strings.Builder
	for line := range strings.Lines(body) {
		if !strings.HasPrefix(line, hosting.SoftwareMark) && !strings.HasPrefix(line, hosting.RunMark) {
			b.WriteString(line)
		}
	}
	return b.String()
}

// refusedNotRun reports whether a status guarantees that the request has not run.
func refusedNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// countRuns returns how often a request was started from the beginning. A generation that was
// resumed from a copy is not counted again.
func countRuns(list []hosting.Arrival) (n int) {
	for _, a := range list {
		if a.Ran && !a.Resumed {
			n++
		}
	}
	return n
}

// checkComplete checks that a generation was started once, and that its caller received every event.
func checkComplete(t *testing.T, id string, r result, arrivals []hosting.Arrival) {
	t.Helper()
	if r.status != http.StatusOK || r.truncated || r.body != streamBody(id) {
		t.Errorf("%s: status %d, truncated %v, error %v, %d of %d events; want a complete stream", id, r.status, r.truncated, r.err, strings.Count(r.body, "\n\n"), streamEvents)
	}
	if n := countRuns(arrivals); n != 1 {
		t.Errorf("%s was started %d times, want once", id, n)
	}
}
