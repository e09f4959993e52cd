package hosting

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin"
	"mulberrylug.example/mulberrylug/internal/standin/relay"
)

// Names in the initial configuration of a World, and defaults.
const (
	Host        = "world.example"
	PathDraft   = "/draft/"
	PathBrief   = "/brief/"
	PathBooking = "/booking/"
	PathLookUp  = "/look-up/"
	Key         = "key-one"
	Owner       = "org-one"
	Pool        = "pool"
	Desk        = "desk"
	// DefaultZone and DefaultRegion are the data centre and the region of upstreams and
	// instances unless a test sets others.
	DefaultZone   = "zone-a"
	DefaultRegion = "region-a"
	// RevokeWithin is the maximum time for a revocation, as the instances' settings say.
	RevokeWithin = 3 * time.Second
	// ApplyWithin is the maximum time until a configuration is in force, as the instances' settings
	// say.
	ApplyWithin = 2 * time.Second
	// heartbeatInterval is the interval at which upstreams renew their rows.
	heartbeatInterval = 300 * time.Millisecond
)

// World is a simulated platform with its table store and upstreams. A test starts the
// instances itself, with the settings files that World writes.
type World struct {
	Table *Table
	// Dir holds the settings files.
	Dir string

	mu      sync.Mutex
	workers []*Worker
	// crashPart is the part of prompts that crashes engines, or nil.
	crashPart *CrashPart
	// stores holds the servers of the table, one for each instance.
	stores  []*standin.Server
	version int64
	// config is the newest configuration, and cordoned holds the cordoned data centres.
	config   map[string]any
	cordoned map[string]bool
	// seeds holds the control addresses of the first instances, at most maxSeeds.
	seeds []string
	// Zones maps each data centre to its region. It must be set before the first call of
	// Machine or MachineIn.
	Zones map[string]string
	// ColdFor is the time for which engines are cold after their start, as the
	// configuration says. It must be set before Configure.
	ColdFor time.Duration
	// ColdPerS is the rate, in requests per second, that an upstream sustains while it is
	// cold. 0 means no limit. It must be set before Add, AddBehindRelay and Configure.
	ColdPerS float64
	// RetryBudgetSlack is the number of retries in the retry budget's window beyond the share of requests. It
	// must be set before the first call of Machine or MachineIn.
	RetryBudgetSlack int
	// QuietHeartbeats is set if a heartbeat that changes nothing gives a row no new version. It must be set
	// before Add and AddBehindRelay.
	QuietHeartbeats bool
}

// maxSeeds is the maximum number of seed addresses in a settings file.
const maxSeeds = 3

// NewWorld returns a platform with an empty table store. Settings files are written to dir.
func NewWorld(dir string) *World {
	return &World{
		Table: NewTable(), Dir: dir, Zones: map[string]string{DefaultZone: DefaultRegion}, RetryBudgetSlack: 100, cordoned: map[string]bool{},
	}
}

// Close stops the table store and the upstreams.
func (w *World) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.stores {
		s.Close()
	}
	for _, k := range w.workers {
		k.server.Close()
	}
}

// Add starts an upstream; configure sets its fields before the start. An upstream with an
// EventCount is an engine, any other is a plain service.
func (w *World) Add(id, service string, configure func(*Worker)) (*Worker, error) {
	k := w.newWorker(id, service, configure)
	var err error
	if k.server, err = standin.StartWithSendBuffer("127.0.0.1:0", k, k.sendBuffer()); err != nil {
		return nil, err
	}
	k.listedAddress = k.server.Address()
	w.register(k)
	return k, nil
}

// Restart starts an upstream that has crashed again, with its id and its address.
func (w *World) Restart(crashed *Worker, configure func(*Worker)) (*Worker, error) {
	k := w.newWorker(crashed.ID, crashed.Service, configure)
	var err error
	if k.server, err = standin.Start(crashed.server.Address(), k); err != nil {
		return nil, err
	}
	k.listedAddress = crashed.listedAddress
	w.register(k)
	return k, nil
}

// newWorker returns an upstream that is not started yet.
func (w *World) newWorker(id, service string, configure func(*Worker)) *Worker {
	k := &Worker{
		ID: id, Service: service, Born: time.Now().UnixMilli(), Zone: DefaultZone, coldPerS: w.ColdPerS, state: "ready", table: w.Table, quietHeartbeats: w.QuietHeartbeats,
		generations: map[string]*generation{}, moving: map[string]bool{}, copies: map[string]*generation{}, copiesSent: map[string]*Worker{}, workerAt: w.workerAt, crashOn: w.crashOn, stop: make(chan struct{}), late: map[net.Conn]string{},
	}
	configure(k)
	return k
}

// register adds an upstream whose server runs and starts its heartbeats.
func (w *World) register(k *Worker) {
	w.mu.Lock()
	w.workers = append(w.workers, k)
	w.mu.Unlock()
	go k.sendHeartbeats(heartbeatInterval)
}

// AddBehindRelay starts an upstream that instances reach only through a relay, which can
// delay, close or silence its connections.
func (w *World) AddBehindRelay(id, service string, configure func(*Worker)) (*Worker, *relay.Relay, error) {
	k := w.newWorker(id, service, configure)
	var err error
	if k.server, err = standin.Start("127.0.0.1:0", k); err != nil {
		return nil, nil, err
	}
	r, err := relay.Start(k.server.Address())
	if err != nil {
		return nil, nil, err
	}
	k.listedAddress = r.Address()
	w.register(k)
	return k, r, nil
}

// workerAt returns the running upstream at an address, or nil.
func (w *World) workerAt(address string) *Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		select {
		case <-k.stop:
			continue
		default:
		}
		if k.Address() == address {
			return k
		}
	}
	return nil
}

// Workers returns all upstreams, including those that have ended.
func (w *World) Workers() []*Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Worker(nil), w.workers...)
}

// Arrivals returns the requests that arrived at all upstreams, by attempt id.
func (w *World) Arrivals() map[string][]Arrival {
	out := map[string][]Arrival{}
	for _, k := range w.Workers() {
		for _, a := range k.Arrivals() {
			out[a.ID] = append(out[a.ID], a)
		}
	}
	return out
}

// Configure writes the next version of the configuration and returns the number of that
// version. change may edit the configuration before it is written; nil leaves it as it is.
func (w *World) Configure(change func(c map[string]any)) int64 {
	w.mu.Lock()
	w.version += 3
	version := w.version
	w.mu.Unlock()
	route := func(name, path, kind, service string, timeout, targetLatency, attempts int, extra map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": Host, "path_prefix": path, "kind": kind, "timeout_ms": timeout,
			"target_latency_ms": targetLatency, "priority": 1, "service": service, "max_attempts": attempts, "public": false,
		}
		for k, v := range extra {
			r[k] = v
		}
		return r
	}
	stream := map[string]any{"session_affinity": true, "gap_aim_ms": 180}
	resumed := map[string]any{"session_affinity": true, "gap_aim_ms": 180, "stream_resume": true}
	c := map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("draft", PathDraft, "streaming", Pool, 30000, 1800, 1, stream),
			route("brief", PathBrief, "streaming", Pool, 6000, 1500, 2, resumed),
			route("booking", PathBooking, "unsafe", Desk, 1500, 300, 1, nil),
			route("look-up", PathLookUp, "safe", Desk, 1500, 300, 2, nil),
		},
		"services": []map[string]any{
			{"name": Pool, "health_path": "/healthz", "max_conns": 100, "cold_start_s": w.ColdFor.Seconds(), "cold_per_s": w.ColdPerS, "engine": map[string]any{
				"slots": 24, "kv_tokens": 34000, "kv_bytes": 18432, "link_mbps": 2700.0, "moves": true, "backups": true, "stride": 4, "handle_s": 5.0,
			}},
			{"name": Desk, "health_path": "/healthz", "max_conns": 100},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": Owner, "api_keys": []string{Key}, "priority": 1}},
	}
	if change != nil {
		change(c)
	}
	w.mu.Lock()
	w.config = c
	w.mu.Unlock()
	w.Table.Put("op", "config", c)
	return version
}

// Restore brings the table back from a copy of some time ago, after it was away for a while. The operator
// writes the configuration and the cordons again some time later, the upstreams with their next heartbeats.
func (w *World) Restore(age, away, rewriteAfter time.Duration) {
	w.Table.Set(Away)
	time.Sleep(away)
	w.Table.Restore(age)
	w.Table.Set(Well)
	time.AfterFunc(rewriteAfter, w.rewrite)
}

// rewrite writes what the operator had written before the table was restored.
func (w *World) rewrite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Table.Put("op", "config", w.config)
	for zone, cordoned := range w.cordoned {
		key := cordonKeyPrefix + zone
		switch {
		case cordoned:
			w.Table.Put("op", key, map[string]any{})
		case w.Table.Has("op", key):
			w.Table.Remove("op", key)
		}
	}
}

// Machine holds the data centre, the addresses and the settings file of one instance.
type Machine struct {
	Name string
	Zone string
	IP   string
	// Settings is the path of the settings file.
	Settings string
	// Callers is the host:port for callers' requests.
	Callers string
	// Ready is the host:port of the readiness check.
	Ready string
	// Entries is the host:port of the directory of entries.
	Entries string
}

// cordonKeyPrefix is the prefix of the keys of rows that cordon a data centre. The rest of such a
// key is the data centre's name.
const cordonKeyPrefix = "evacuate/"

// Cordon cordons a data centre: instances send no more requests to its upstreams.
func (w *World) Cordon(zone string) {
	w.noteCordon(zone, true)
	w.Table.Put("op", cordonKeyPrefix+zone, map[string]any{})
}

// Uncordon removes the cordon of a data centre.
func (w *World) Uncordon(zone string) {
	w.noteCordon(zone, false)
	w.Table.Remove("op", cordonKeyPrefix+zone)
}

func (w *World) noteCordon(zone string, cordoned bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cordoned[zone] = cordoned
}

// Machine writes the settings file of another instance in the default data centre, and
// returns the instance's addresses.
func (w *World) Machine(name string) (Machine, error) { return w.MachineIn(name, DefaultZone) }

// MachineIn does the same as Machine for the given data centre.
func (w *World) MachineIn(name, zone string) (Machine, error) {
	ip, ports, err := allocateAddress()
	if err != nil {
		return Machine{}, err
	}
	control := fmt.Sprintf("%s:%d", ip, ports[4])
	store, err := standin.Start("127.0.0.1:0", w.Table.HandlerFor(name))
	if err != nil {
		return Machine{}, err
	}
	w.mu.Lock()
	w.stores = append(w.stores, store)
	if len(w.seeds) < maxSeeds {
		w.seeds = append(w.seeds, control)
	}
	seeds := strings.Join(w.seeds, `", "`)
	w.mu.Unlock()
	m := Machine{
		Name: name, Zone: zone, IP: ip, Settings: filepath.Join(w.Dir, name+".yaml"),
		Callers: fmt.Sprintf("%s:%d", ip, ports[0]), Ready: fmt.Sprintf("%s:%d", ip, ports[1]), Entries: fmt.Sprintf("%s:%d", ip, ports[2]),
	}
	zones, err := json.Marshal(w.Zones)
	if err != nil {
		return Machine{}, err
	}
	text := fmt.Sprintf(settingsText, name, ip, zone, w.Zones[zone], zones, m.Callers, m.Ready, m.Entries, control, seeds, ports[3], ports[3]+1, ApplyWithin.Milliseconds(), RevokeWithin.Milliseconds(), w.RetryBudgetSlack, store.Address())
	return m, os.WriteFile(m.Settings, []byte(text), 0o600)
}

// settingsText is the format of an instance's settings file, as the platform writes it.
const settingsText = `node_name: %q
role: "serve"
serves: ["frontend", "directory", "control"]
ip: %q
zone: %q
region: %q
zones: %s
listen: {frontend: %q, readiness: %q, directory: %q, control: %q}
seeds: ["%s"]
internal_ports: [%d, %d]
limits: {cpu_share: 0.27, cores: 1, memory_mb: 120, max_fds: 2870}
heartbeat_ms: 300
bounds:
  drain_ms: 2000
  grace_s: 8
  config_apply_ms: %d
  strict_revocation: true
  revoke_ms: %d
  retry_budget_ratio: 0.2
  budget_window_s: 10
  retry_budget_slack: %d
  ttl_max_s: 5
platform: {address: %q, form: "table"}
`

// instanceCount is the number of addresses that this process has allocated. Simulations
// that run in parallel must not share an address: a port that one of them finds free could
// be taken by another one before the instance listens.
var instanceCount atomic.Uint32

// firstPort is the first of the ports of instances. They lie below the range from which the kernel takes
// the ports of outgoing connections: a connection to an address of the loopback range also comes from that
// address, and could take a port before the instance listens on it.
const firstPort = 20_000

// allocateAddress returns an address of the loopback range and five ports that are free
// there. Each instance has its own address, as on the platform.
func allocateAddress() (string, [5]int, error) {
	n := instanceCount.Add(1)
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, n/250, 1+n%250)
	var ports [5]int
	next := firstPort
	for k := range ports {
		port, err := freePort(ip, next)
		if err != nil {
			return "", ports, err
		}
		ports[k], next = port, port+1
	}
	return ip, ports, nil
}

// maxPortTries is the number of successive ports of which one must be free.
const maxPortTries = 100

// freePort returns the first free port of an address from a port on.
func freePort(ip string, from int) (port int, err error) {
	for port = from; port < from+maxPortTries; port++ {
		ln, listenErr := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if listenErr == nil {
			return port, ln.Close()
		}
		err = listenErr
	}
	return 0, fmt.Errorf("find a free port at %s: %w", ip, err)
}
