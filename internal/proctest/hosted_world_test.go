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

// Sizes of the worlds: small, as several run beside each other.
const (
	hostedInstanceCount = 3
	poolUpstreams        = 4
	deskUpstreams        = 3
	streamEvents      = 40
	briefSteps      = 5
)

// fixture is a hosting platform with instances in processes of their own.
type fixture struct {
	*hosting.World
	machines []hosting.Machine
	procs    []*process
	pool     []*hosting.Worker
	desk     []*hosting.Worker
	builds   builds
}

// newFixture starts a platform, its workers and instances, and waits until each
// instance is ready.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureOfBuild(t, "")
}

// newFixtureOfBuild is settle with instances of one build; "" alternates between the builds.
func newFixtureOfBuild(t *testing.T, build string) *fixture {
	t.Helper()
	base, err := hosting.NewWorld(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(base.Close)
	w := &fixture{World: base, builds: builds{fixed: build}}
	base.Configure(nil)
	for k := range poolUpstreams {
		w.pool = append(w.pool, w.addUpstream(t, fmt.Sprintf("engine-%d", k), hosting.Pool, func(k *hosting.Worker) {
			k.EventEvery, k.EventCount, k.CopyTime = 25*time.Millisecond, streamEvents, 30*time.Millisecond
		}))
	}
	for k := range deskUpstreams {
		w.desk = append(w.desk, w.addUpstream(t, fmt.Sprintf("desk-%d", k), hosting.Desk, func(k *hosting.Worker) {
			k.Work = 10 * time.Millisecond
		}))
	}
	for k := range hostedInstanceCount {
		w.addInstance(t, fmt.Sprintf("entry-%d", k))
	}
	w.waitReady(t)
	return w
}

func (w *fixture) addUpstream(t *testing.T, id, service string, shape func(*hosting.Worker)) *hosting.Worker {
	t.Helper()
	k, err := w.Add(id, service, shape)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// newFixtureWithDataCentres starts a platform whose data centres, by their regions, have some engines,
// plain services and instances each, and waits until each instance is ready. prepare may
// change the platform before its first configuration.
func newFixtureWithDataCentres(t *testing.T, zones map[string]string, each int, prepare func(*hosting.World)) *fixture {
	t.Helper()
	base, err := hosting.NewWorld(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(base.Close)
	base.Zones = zones
	w := &fixture{World: base}
	if prepare != nil {
		prepare(base)
	}
	base.Configure(nil)
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		for k := range each {
			w.pool = append(w.pool, w.addUpstream(t, fmt.Sprintf("engine-%s-%d", zone, k), hosting.Pool, func(k *hosting.Worker) {
				k.Zone, k.EventEvery, k.EventCount, k.CopyTime = zone, 25*time.Millisecond, streamEvents, 30*time.Millisecond
			}))
			w.desk = append(w.desk, w.addUpstream(t, fmt.Sprintf("desk-%s-%d", zone, k), hosting.Desk, func(k *hosting.Worker) {
				k.Zone, k.Work = zone, 10*time.Millisecond
			}))
			w.addInstanceIn(t, fmt.Sprintf("entry-%s-%d", zone, k), zone)
		}
	}
	for _, m := range w.machines {
		testkit.Eventually(t, waitTimeout, m.Name+" is ready and knows the others", func() bool {
			return w.ready(m) && len(w.resolveFrom(m, "elsewhere", "elsewhere")) == len(w.machines)
		})
	}
	return w
}

func (w *fixture) addInstance(t *testing.T, name string) {
	t.Helper()
	w.addInstanceIn(t, name, hosting.DefaultZone)
}

func (w *fixture) addInstanceIn(t *testing.T, name, zone string) {
	t.Helper()
	m, err := w.MachineIn(name, zone)
	if err != nil {
		t.Fatal(err)
	}
	w.machines = append(w.machines, m)
	w.procs = append(w.procs, w.startInstance(t, m))
}

func (w *fixture) startInstance(t *testing.T, m hosting.Machine) *process {
	t.Helper()
	return startWith(t, w.builds.next(), m.Name, []string{"MULBERRYLUG_SETTINGS=" + m.Settings}, "serve")
}

// ready reports whether a machine says that it is.
func (w *fixture) ready(m hosting.Machine) bool {
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

// resolve returns the addresses that a machine tells callers of the default data centre to use.
func (w *fixture) resolve(m hosting.Machine) []string {
	return w.resolveFrom(m, hosting.DefaultRegion, hosting.DefaultZone)
}

// resolveFrom returns the addresses that a machine tells callers of a data centre to use.
func (w *fixture) resolveFrom(m hosting.Machine, region, zone string) []string {
	var out struct {
		Addresses []string `json:"addresses"`
	}
	url := "http://" + m.Entries + "/v1/resolve?name=" + hosting.Host + "&region=" + region + "&zone=" + zone
	if err := getJSON(url, &out); err != nil {
		return nil
	}
	return out.Addresses
}

func (w *fixture) waitReady(t *testing.T) {
	t.Helper()
	for _, m := range w.machines {
		testkit.Eventually(t, waitTimeout, m.Name+" is ready and knows the others", func() bool {
			return w.ready(m) && len(w.resolve(m)) == len(w.machines)
		})
	}
}

// call is a caller's request.
type call struct {
	id, method, path, key, body string
	header                      map[string]string
	timeout                    time.Duration
}

// result is what the caller saw.
type result struct {
	status int
	header http.Header
	body   string
	// truncated is set if the answer broke off.
	truncated bool
	err error
}

// do makes a request on a connection of its own.
func (w *fixture) do(m hosting.Machine, c call) result {
	return w.doOn(&http.Transport{DisableKeepAlives: true, DisableCompression: true}, m, c)
}

// doOn makes a request on a transport's connections.
func (w *fixture) doOn(transport http.RoundTripper, m hosting.Machine, c call) result {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout+5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+m.Callers+c.path, bytes.NewBufferString(c.body))
	if err != nil {
		return result{err: err}
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

func generation(id string) call {
	return call{
		id: id, method: http.MethodPost, path: hosting.PathDraft + "d?x=%2F", key: hosting.Key, body: "prompt of " + id, timeout: 20 * time.Second,
		header: map[string]string{"Token-Counts": fmt.Sprintf("1000,%d", 4*streamEvents), "Model": "m"},
	}
}

func booking(id string) call {
	return call{id: id, method: http.MethodPost, path: hosting.PathBooking + "b", key: hosting.Key, body: "book " + id, timeout: 3 * time.Second}
}

func lookUp(id string) call {
	return call{id: id, method: http.MethodGet, path: hosting.PathLookUp + "l?q=1", key: hosting.Key, timeout: 3 * time.Second}
}

// streamBody returns a whole stream of a request.
func streamBody(id string) string {
	var b strings.Builder
	for n := 1; n <= streamEvents; n++ {
		b.WriteString(hosting.Event(id, n))
	}
	return b.String()
}

// refusedNotRun reports whether a status promises that nothing ran.
func refusedNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// countRuns counts how often a request was begun anew.
func countRuns(list []hosting.Arrival) (n int) {
	for _, a := range list {
		if a.Ran && !a.Resumed {
			n++
		}
	}
	return n
}

// checkComplete checks that a draft ran once, and that its caller saw every event of it.
func checkComplete(t *testing.T, id string, r result, arrivals []hosting.Arrival) {
	t.Helper()
	if r.status != http.StatusOK || r.truncated || r.body != streamBody(id) {
		t.Errorf("%s: status %d cut %v error %v, %d events of %d", id, r.status, r.truncated, r.err, strings.Count(r.body, "\n\n"), streamEvents)
	}
	if n := countRuns(arrivals); n != 1 {
		t.Errorf("%s was begun %d times, want once", id, n)
	}
}
