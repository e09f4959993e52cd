package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case.
const (
	pathDraft    = "/lohu930/"
	draftOutput  = 4 * 400 // tokens; the longest drafts have 549 events
	draftsEach   = 2
	deskWork     = 150 * time.Millisecond
	betweenTerms = 150 * time.Millisecond
	// earlyTerm is the time after SIGTERM within which a request may be cut in the last sixth of the grace period.
	earlyTerm = 3 * time.Second
	// planned is the time after SIGTERM that counts as planned work: the grace period and a second.
	planned      = 9 * time.Second
	restartAfter = 500 * time.Millisecond
)

// lateConfig is the configuration with a route to the engines.
func lateConfig() map[string]any {
	c := config()
	c["routes"] = append(c["routes"].([]any), map[string]any{
		"name": "draft", "host": host, "path_prefix": pathDraft, "kind": "streaming", "timeout_ms": 39000, "target_latency_ms": 1800,
		"priority": 1, "service": "mulberrylug-pool", "max_attempts": 1, "public": false, "session_affinity": true,
		"stream_resume": false, "gap_aim_ms": 180,
	})
	c["services"] = append(c["services"].([]any), map[string]any{"name": "mulberrylug-pool", "health_path": "/healthz", "max_conns": 589, "engine": map[string]any{
		"slots": 24, "kv_tokens": 34359, "kv_bytes": 18432, "link_mbps": 2700.0, "moves": true, "backups": true, "stride": 4, "most": 12,
		"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
	}})
	return c
}

// playLate stops the processes shortly one after the other (three rolling stops at once), each of which has long streams in progress, and starts them again when
// they have ended. It checks that no request is lost that a process took late in its drain and passed on.
func playLate(t *trial) (int, error) {
	s, err := startStore(t.network + ".1")
	if err != nil {
		return notRun, err
	}
	defer s.server.Close()
	s.put("op", "config", lateConfig())
	var desk []*worker
	for k := range 3 {
		w, err := startWorker(s, t.network+".2", fmt.Sprintf("i-desk-%d", k+1), "order-desk", zone, deskWork)
		if err != nil {
			return notRun, err
		}
		defer w.exit()
		desk = append(desk, w)
	}
	var pool []*engine
	for k := range 4 {
		e, err := startEngine(s, t.network+".2", fmt.Sprintf("i-pool-%d", k+1), func(address string) *engine {
			for _, e := range pool {
				if e.address == address {
					return e
				}
			}
			return nil
		})
		if err != nil {
			return notRun, err
		}
		defer e.exit()
		pool = append(pool, e)
	}
	if t.fleet, err = startFleet(t.dir, s.address, t.network, 3); err != nil {
		return notRun, err
	}
	t.say("3 processes of the system are ready; 3 servers of order-desk, 4 engines")
	c := startClients(t.fleet, 12, 150*time.Millisecond)
	time.Sleep(4 * time.Second)
	var drafts sync.WaitGroup
	for n, i := range t.fleet {
		for k := range draftsEach {
			drafts.Go(func() { t.draft(i, fmt.Sprintf("%08x%08x", 0xd0+n, k)) })
		}
	}
	time.Sleep(2 * time.Second)
	terminated := t.roll(s)
	drafts.Wait()
	return t.judgeLate(c.end(), desk, terminated), nil
}

// roll stops the processes in turn and starts each again after its end. It returns, by their addresses, when they
// got SIGTERM.
func (t *trial) roll(s *store) map[string]time.Time {
	terminated := map[string]time.Time{}
	var restarts sync.WaitGroup
	for _, i := range t.fleet {
		if !t.trouble {
			time.Sleep(betweenTerms)
			continue
		}
		terminated[i.callers] = time.Now()
		_ = i.cmd.Process.Signal(syscall.SIGTERM) // fails only if it has ended
		t.say("%s gets SIGTERM", i.name)
		restarts.Go(func() {
			_ = i.cmd.Wait() // the record has its state
			t.say("%s ended %s after SIGTERM: %v", i.name, round(time.Since(terminated[i.callers])), i.cmd.ProcessState)
			time.Sleep(restartAfter)
			if err := i.start(t.dir, s.address, seedsOf(t.fleet)); err != nil {
				t.say("%s could not be started again: %v", i.name, err)
			}
		})
		time.Sleep(betweenTerms)
	}
	restarts.Wait()
	time.Sleep(2 * time.Second)
	return terminated
}

// seedsOf lists the control addresses of processes.
func seedsOf(fleet []*instance) (seeds []string) {
	for _, i := range fleet {
		seeds = append(seeds, i.control)
	}
	return seeds
}

// draft sends a request for a long stream and reads what it gets.
func (t *trial) draft(to *instance, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 39*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.callers+pathDraft+id, strings.NewReader("prompt of "+id))
	if err != nil {
		return
	}
	req.Host, req.GetBody = host, nil
	for name, value := range map[string]string{
		"Attempt-Id": id, "Deadline-Ms": "39000", "Credential": key, "Model": "m", "Token-Counts": fmt.Sprintf("3000,%d", draftOutput),
		"Prompt-Prefix": "5c1e07a2:47,91bd3f06:31," + id[8:] + ":2922", "Length-Hint": fmt.Sprint(draftOutput),
	} {
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		t.say("stream %s: %v", id, err)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	t.say("stream %s at %s: %d, %d events (%v)", id, to.name, resp.StatusCode, strings.Count(string(body), "id: "), err)
}

func (t *trial) judgeLate(outcomes []outcome, desk []*worker, terminated map[string]time.Time) int {
	t.list(outcomes, desk)
	ran := map[string]arrival{}
	for _, w := range desk {
		for _, a := range w.list() {
			ran[a.id] = a
		}
	}
	answers := map[string]int{}
	lost := 0
	for _, o := range outcomes {
		answers[fmt.Sprintf("%s %d", o.kind, o.status)]++
		term, stopped := terminated[o.to]
		after := o.sent.Sub(term)
		a, passedOn := ran[o.id]
		if o.status != 0 || !passedOn || !stopped || after <= earlyTerm || after > planned {
			continue
		}
		lost++
		t.say("%s (%s) was sent to %s %s after its SIGTERM, and ran at %s; the client got nothing (%v)", o.id, o.kind, o.to, round(after), a.server, o.err)
	}
	t.say("%d requests; answers by kind and status (0: none): %v", len(outcomes), answers)
	t.say("%d requests were taken later than %s after SIGTERM, passed on to a server, and got no answer", lost, earlyTerm)
	if lost > 0 {
		return broken
	}
	return held
}
