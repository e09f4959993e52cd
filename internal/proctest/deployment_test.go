package proctest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/client"
	"mulberrylug.example/mulberrylug/internal/daemon"
	"mulberrylug.example/mulberrylug/internal/demo"
	"mulberrylug.example/mulberrylug/internal/standin/engine"
	"mulberrylug.example/mulberrylug/internal/standin/platform"
	"mulberrylug.example/mulberrylug/internal/standin/service"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

const (
	instanceCount = 3
	engineCount   = 3
	dataCentre    = "kochi-a"
	// medianTokens is the median length of a generation. At 10 ms per token, streams take
	// seconds, which is longer than callers cache the list of instances.
	medianTokens = "250"
)

// deployment is a complete deployment with the project's own platform interface. Every part is
// a separate process.
type deployment struct {
	dir         string
	platform    *process
	engines     []*process
	service     *process
	instances   []*process
	platformURL string
	builds      builds
	// logLevel is the log level of the instances, "" for the default.
	logLevel string
}

// deploy starts a deployment and waits until each instance is ready.
func deploy(t *testing.T) *deployment {
	t.Helper()
	return (&deployment{}).start(t)
}

// start starts the processes and waits until each instance is ready.
func (d *deployment) start(t *testing.T) *deployment {
	t.Helper()
	d.dir = t.TempDir()
	d.platform = start(t, "platform", "standin", "platform")
	d.platformURL = "http://" + d.platform.value(t, "address")
	for n := range engineCount {
		d.engines = append(d.engines, d.startUpstream(t, fmt.Sprintf("engine-%d", n+1), "assistant", "engine"))
	}
	d.service = d.startUpstream(t, "desk-1", "order-desk", "service")
	d.apply(t)
	for n := range instanceCount {
		d.instances = append(d.instances, d.startInstance(t, fmt.Sprintf("entry-%d", n+1)))
	}
	d.waitReady(t)
	return d
}

func (d *deployment) startUpstream(t *testing.T, name, role, kind string) *process {
	t.Helper()
	p := start(t, name, "standin", "-platform", d.platformURL, "-name", name, "-role", role, "-data-centre", dataCentre,
		"-median", medianTokens, "-sigma", "0.3", kind)
	p.value(t, "address")
	return p
}

func (d *deployment) apply(t *testing.T) {
	t.Helper()
	d.applyText(t, d.configuration())
}

func (d *deployment) configuration() string {
	return demo.Configuration(demo.FleetOptions{Engines: engineCount, Services: 1})
}

// applyText applies a configuration and returns its version number.
func (d *deployment) applyText(t *testing.T, text string) (number int64) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(d.dir, "deployment.yaml"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command(binary, "apply", "-f", d.dir, "-platform", d.platformURL, "-operator", "test").CombinedOutput()
	if err != nil {
		t.Fatalf("apply: %v\n%s", err, out)
	}
	for line := range strings.Lines(string(out)) {
		if _, err := fmt.Sscanf(line, "version %d was applied", &number); err == nil {
			return number
		}
	}
	t.Fatalf("apply printed %q, want the version number", out)
	return 0
}

func (d *deployment) startInstance(t *testing.T, name string) *process {
	t.Helper()
	settings := fmt.Sprintf("name: %s\ndata_centre: %s\nplatform: %s\ncaller_address: 127.0.0.1:0\npeer_address: 127.0.0.1:0\noperator_address: 127.0.0.1:0\n",
		name, dataCentre, d.platformURL)
	if d.logLevel != "" {
		settings += "log_level: " + d.logLevel + "\n"
	}
	file := filepath.Join(d.dir, name+".settings")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p := startWith(t, d.builds.next(), name, nil, "serve", "-settings", file)
	p.value(t, "caller_address")
	return p
}

// waitReady waits until each instance has a configuration and lists all instances.
func (d *deployment) waitReady(t *testing.T) {
	t.Helper()
	for _, p := range d.instances {
		testkit.Eventually(t, waitTimeout, p.name+" has a configuration and lists all instances", func() bool {
			var st daemon.Status
			err := getJSON("http://"+p.value(t, "operator_address")+"/v1/status", &st)
			return err == nil && st.ConfigNumber > 0 && st.Instances == len(d.instances)
		})
	}
}

// client returns a client whose seeds are the current instances.
func (d *deployment) client(t *testing.T) *client.Client {
	var seeds []string
	for _, p := range d.instances {
		seeds = append(seeds, p.value(t, "caller_address"))
	}
	return client.New(client.Options{Seeds: seeds, APIKey: demo.APIKey, Retries: 5})
}

// setFaults sets the faults that the stand-in platform injects.
func (d *deployment) setFaults(t *testing.T, f platform.Faults) {
	t.Helper()
	raw, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post(d.platformURL+"/faults", "application/json", bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}

// generations returns the generations that the engines recorded, by attempt id.
func (d *deployment) generations(t *testing.T) map[string]engine.Record {
	t.Helper()
	out := map[string]engine.Record{}
	for _, p := range d.engines {
		var list []engine.Record
		if err := getJSON("http://"+p.value(t, "address")+"/records", &list); err != nil {
			t.Fatal(err)
		}
		for _, r := range list {
			out[r.Attempt] = r
		}
	}
	return out
}

// callCounts returns how often the booking service ran each key.
func (d *deployment) callCounts(t *testing.T) map[string]int {
	t.Helper()
	var list []service.Call
	if err := getJSON("http://"+d.service.value(t, "address")+"/calls", &list); err != nil {
		t.Fatal(err)
	}
	out := map[string]int{}
	for _, c := range list {
		out[c.Key]++
	}
	return out
}

// getJSON decodes the JSON body of a response into v. It times out after 5 s.
func getJSON(url string, v any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}
