package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin"
	"mulberrylug.example/mulberrylug/internal/standin/hosting"
)

// Names in the configuration.
const (
	host    = "orders.example"
	zone    = "kochi-a"
	region  = "kerala-south"
	service = "order-desk"
	tenant  = "tenant-a"
	key     = "key-of-tenant-a"
)

// Paths of the routes.
const (
	pathBooking = "/refill/"
	pathLookUp  = "/stock/"
)

// command is the command of the deploy file.
var command = []string{"target/mulberrylug", "serve", "-metrics-port", "9464"}

// settingsText is a settings file as DEPLOY.md shows it, with the bounds of ln2-kochi.
const settingsText = `node_name: %[1]q
role: "serve"
machine_class: "frontend"
serves: ["frontend", "control", "directory"]
ip: %[2]q
zone: "kochi-a"
region: "kerala-south"
zones: {kochi-a: "kerala-south"}
listen:
  frontend: "%[2]s:%[3]d"
  readiness: "%[2]s:%[4]d"
  control: "%[2]s:%[5]d"
  directory: "%[2]s:%[6]d"
internal_ports: [%[7]d, %[8]d]
seeds: [%[9]s]
bootstrap: true
limits: {cpu_share: 0.272, cores: 1, memory_mb: 120, max_fds: 2870, link_mbps: 700.0, disk_mb: 0}
discovery: "platform"
entry: "directory"
heartbeat_ms: 1200
fault_tolerance: {machines: 1, zones: 0, regions: 0}
bounds:
  seed_lag_s: 3
  reuse_after_s: 2
  contact_ms: 3000
  ack_ms: 4000
  catch_up_s: 4
  drain_ms: 2000
  grace_s: 8
  loss_slack_ms: 200
  config_apply_ms: 2000
  rollback_slack_ms: 250
  max_stretch_ms: 5000
  strict_revocation: true
  revoke_ms: 5000
  retry_budget_ratio: 0.2
  budget_window_s: 10
  retry_budget_slack: 113
  recover_s: 12
  pass_ms: 120
  again_s: 4.8
  ttl_max_s: 5
platform:
  address: %[10]q
  form: "table"
  writes_per_s: 400
  reads_per_s: 2000
  tx_ms: 5.0
  partition_writes_s: 200
  row_bytes: 65536
  across: false
  history_s: 20
`

// instance is one process of the system.
type instance struct {
	name, ip, callers, ready string
	settings                 string
	process                  *exec.Cmd
	log                      *os.File
	store                    *standin.Server
}

// fleet is the platform's store and the processes of the system.
type fleet struct {
	table *hosting.Table
	dir   string
	list  []*instance

	mu      sync.Mutex
	version int64
}

// newFleet returns a platform without processes.
func newFleet(dir string) *fleet { return &fleet{table: hosting.NewTable(), dir: dir} }

// configure writes the next version of the configuration and returns its number.
func (f *fleet) configure() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version += 3
	route := func(name, path, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": path, "kind": kind, "timeout_ms": 1500, "target_latency_ms": 300,
			"priority": 2, "service": service, "max_attempts": attempts, "public": false,
		}
	}
	f.table.Put("op", "config", map[string]any{
		"version":  f.version,
		"routes":   []map[string]any{route("refill-booking", pathBooking, "unsafe", 1), route("stock-check", pathLookUp, "safe", 2)},
		"services": []map[string]any{{"name": service, "health_path": "/healthz", "max_conns": 208, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": tenant, "api_keys": []string{key}, "priority": 1}},
	})
	return f.version
}

// start starts n processes, each at an address of its own, and waits until all are ready.
func (f *fleet) start(n int) error {
	var seeds []string
	ports := make([][]int, n)
	for k := range n {
		i := &instance{name: fmt.Sprintf("frontend-kochi-a-%d", k+1), ip: fmt.Sprintf("127.%d.7.%d", 2+os.Getpid()%200, k+1)}
		free, err := freePorts(i.ip, 6)
		if err != nil {
			return err
		}
		ports[k] = free
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", i.ip, free[2])))
		f.list = append(f.list, i)
	}
	seedList := strings.Join(seeds[:min(n, 3)], ", ")
	for k, i := range f.list {
		p := ports[k]
		store, err := standin.Start("127.0.0.1:0", f.table.HandlerFor(i.name))
		if err != nil {
			return err
		}
		i.store = store
		i.callers, i.ready = fmt.Sprintf("%s:%d", i.ip, p[0]), fmt.Sprintf("%s:%d", i.ip, p[1])
		i.settings = filepath.Join(f.dir, i.name+".yaml")
		text := fmt.Sprintf(settingsText, i.name, i.ip, p[0], p[1], p[2], p[3], p[4], p[5], seedList, store.Address())
		if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := i.launch(f.dir); err != nil {
			return err
		}
	}
	for _, i := range f.list {
		if err := i.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// launch starts the process of an instance, which ends with this one.
func (i *instance) launch(dir string) error {
	log, err := os.OpenFile(filepath.Join(dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	i.log = log
	i.process = exec.Command(command[0], command[1:]...)
	i.process.Env = append(os.Environ(), "MULBERRYLUG_SETTINGS="+i.settings)
	i.process.Stdout, i.process.Stderr = log, log
	i.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return i.process.Start()
}

// awaitReady waits until the readiness check of an instance succeeds.
func (i *instance) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if i.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", i.name, limit)
}

func (i *instance) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.ready+"/v1/readyz", nil)
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

// stop ends all processes.
func (f *fleet) stop() {
	for _, i := range f.list {
		if i.process != nil && i.process.Process != nil {
			_ = i.process.Process.Signal(syscall.SIGKILL) // fails only if the process has ended
			_ = i.process.Wait()                          // returns the signal as an error
		}
		if i.log != nil {
			i.log.Close()
		}
		if i.store != nil {
			i.store.Close()
		}
	}
}

// freePorts returns ports of an address that are free. They lie below the range of outgoing connections.
func freePorts(ip string, n int) ([]int, error) {
	var out []int
	for port := 21_000; port < 22_000 && len(out) < n; port++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			continue
		}
		ln.Close()
		out = append(out, port)
	}
	if len(out) < n {
		return nil, fmt.Errorf("%s has too few free ports", ip)
	}
	return out, nil
}

// record writes what was sent, answered and run, one JSON object a line.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// note writes one line.
func (r *record) note(event string, pairs ...any) {
	line := map[string]any{"at_s": float64(time.Since(r.began).Milliseconds()) / 1000, "event": event}
	for k := 0; k+1 < len(pairs); k += 2 {
		line[fmt.Sprint(pairs[k])] = pairs[k+1]
	}
	raw, err := json.Marshal(line)
	if err != nil {
		raw = []byte(fmt.Sprint(line))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%s\n", raw) // the verdict does not depend on the record
}
