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
	"time"
)

// Names of the deployment.
const (
	zone     = "kochi-a"
	region   = "kerala-south"
	host     = "ficu95.example"
	tenant   = "huka270"
	key      = "xd9dnn2ctnfzs989anu6"
	pathBook = "/pule252/"
	pathLook = "/puxa403/"
)

// instance is a process of the system.
type instance struct {
	name, ip                           string
	callers, ready, directory, control string
	peerPort                           int
	settings                           string
	cmd                                *exec.Cmd
}

// newInstance allocates the addresses of a process.
func newInstance(name, ip string) (*instance, error) {
	i := &instance{name: name, ip: ip}
	next := 20_000 // below the range of the ports of outgoing connections
	free := func() (int, error) {
		for ; next < 20_400; next++ {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, next))
			if err != nil {
				continue
			}
			ln.Close()
			next++
			return next - 1, nil
		}
		return 0, fmt.Errorf("no free port at %s", ip)
	}
	for _, to := range []*string{&i.callers, &i.ready, &i.directory, &i.control} {
		port, err := free()
		if err != nil {
			return nil, err
		}
		*to = fmt.Sprintf("%s:%d", ip, port)
	}
	var err error
	i.peerPort, err = free()
	return i, err
}

// settingsText is the settings file of a process. The figures are those of the small deployment.
const settingsText = `node_name: %q
role: "serve"
machine_class: "frontend"
serves: ["frontend", "control", "directory"]
ip: %q
zone: %q
region: %q
zones: {%s: %q}
listen: {frontend: %q, readiness: %q, control: %q, directory: %q}
internal_ports: [%d, %d]
seeds: [%s]
bootstrap: true
limits: {cpu_share: 0.272, cores: 1, memory_mb: 120, max_fds: 2870, link_mbps: 700.0, disk_mb: 0}
discovery: "platform"
entry: "directory"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
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
platform: {address: %q, form: "table", writes_per_s: 400, reads_per_s: 2000, tx_ms: 5.0, partition_writes_s: 200, row_bytes: 65536, across: false, history_s: 20}
`

// start writes the settings file of a process and starts it as the deploy file does.
func (i *instance) start(dir, storeAddress string, seeds []string) error {
	i.settings = filepath.Join(dir, i.name+".yaml")
	quoted := make([]string, len(seeds))
	for k, s := range seeds {
		quoted[k] = fmt.Sprintf("%q", s)
	}
	text := fmt.Sprintf(settingsText, i.name, i.ip, zone, region, zone, region, i.callers, i.ready, i.control, i.directory,
		i.peerPort, i.peerPort+15, strings.Join(quoted, ", "), storeAddress)
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(dir, i.name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	i.cmd = exec.Command("target/mulberrylug", "serve", "-metrics-port", "9464")
	i.cmd.Env = []string{"MULBERRYLUG_SETTINGS=" + i.settings, "PATH=" + os.Getenv("PATH")}
	i.cmd.Stdout, i.cmd.Stderr = log, log
	return i.cmd.Start()
}

// kill ends the process.
func (i *instance) kill() {
	if i.cmd == nil || i.cmd.Process == nil {
		return
	}
	_ = i.cmd.Process.Kill() // fails only if it has ended
	_ = i.cmd.Wait()         // the status of a killed process says nothing
}

// isReady reports whether the process says that it is ready.
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

// resolve returns the addresses that a process names to clients.
func (i *instance) resolve() []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := "http://" + i.directory + "/v1/resolve?name=" + host + "&region=" + region + "&zone=" + zone
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var out struct {
		Addresses []string `json:"addresses"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&out) != nil {
		return nil
	}
	return out.Addresses
}

// startFleet starts processes of the system and waits until all are ready.
func startFleet(dir, storeAddress, network string, count int) ([]*instance, error) {
	var fleet []*instance
	var seeds []string
	for k := range count {
		i, err := newInstance(fmt.Sprintf("frontend-%s-%d", zone, k+1), fmt.Sprintf("%s.%d", network, 10+k))
		if err != nil {
			return fleet, err
		}
		fleet = append(fleet, i)
		if len(seeds) < 3 {
			seeds = append(seeds, i.control)
		}
	}
	for _, i := range fleet {
		if err := i.start(dir, storeAddress, seeds); err != nil {
			return fleet, err
		}
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, i := range fleet {
			if i.isReady() && len(i.resolve()) > 0 {
				ready++
			}
		}
		if ready == count {
			return fleet, nil
		}
		if time.Now().After(end) {
			return fleet, fmt.Errorf("only %d of %d processes are ready", ready, count)
		}
	}
}
