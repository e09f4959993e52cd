package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	pathBrief   = "/pufi791/"
	briefOutput = 51 // tokens: 12.8 events, the longest output of the kind
	briefEvents = (briefOutput + 3) / 4
	window      = 4 * time.Second
	// engines is the number of engines, of which half are faulty for the window, and losses the number of answers
	// that these lose: fewer than 5 in 100.
	engines = 12
	losses  = 2
	// stopWithin is the time for which the worker before may still be at work.
	stopWithin = 400 * time.Millisecond
)

func poolConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "brief", "host": host, "path_prefix": pathBrief, "kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 1500,
			"priority": 0, "service": "mulberrylug-pool", "max_attempts": 2, "public": false, "session_affinity": true,
			"stream_resume": true, "gap_aim_ms": 180,
		}},
		"services": []any{map[string]any{"name": "mulberrylug-pool", "health_path": "/healthz", "max_conns": 589, "engine": map[string]any{
			"slots": 24, "kv_tokens": 34359, "kv_bytes": 18432, "link_mbps": 2700.0, "moves": true, "backups": true, "stride": 4, "most": 12,
			"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
		}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{key}, "priority": 1}},
	}
}

// playTwice lets engines lose a few answers while they run the requests. It checks that no run goes on at a second
// engine while the first one is still at work on it.
func playTwice(t *trial) (int, error) {
	s, err := startStore(t.network + ".1")
	if err != nil {
		return notRun, err
	}
	defer s.server.Close()
	s.put("op", "config", poolConfig())
	var pool []*engine
	find := func(address string) *engine {
		for _, e := range pool {
			if e.address == address {
				return e
			}
		}
		return nil
	}
	for k := range engines {
		e, err := startEngine(s, t.network+".2", fmt.Sprintf("i-pool-%d", k+1), find)
		if err != nil {
			return notRun, err
		}
		defer e.exit()
		pool = append(pool, e)
	}
	if t.fleet, err = startFleet(t.dir, s.address, t.network, 3); err != nil {
		return notRun, err
	}
	t.say("3 processes of the system are ready; %d engines", engines)
	var mu sync.Mutex
	var seen []streamed
	var done sync.WaitGroup
	end := time.Now().Add(12 * time.Second)
	faulty := time.AfterFunc(3*time.Second, func() {
		if !t.trouble {
			return
		}
		t.say("for %s, %d of %d engines lose answers", window, engines/2, engines)
		for k, e := range pool[:engines/2] {
			e.mu.Lock()
			e.inWindow = true
			if k < losses {
				e.toLose = 1
			}
			e.mu.Unlock()
		}
		time.Sleep(window)
		answers, left := 0, 0
		for _, e := range pool[:engines/2] {
			e.mu.Lock()
			e.inWindow = false
			answers, left = answers+e.answers, left+e.toLose
			e.mu.Unlock()
		}
		t.say("they lost %d of their %d answers", losses-left, answers)
	})
	defer faulty.Stop()
	for k := 0; time.Now().Before(end); k++ {
		time.Sleep(36 * time.Millisecond)
		done.Go(func() {
			to := t.fleet[k%len(t.fleet)].callers
			got := stream(to, fmt.Sprintf("%016x", 0x1c41d07b00000000+k))
			mu.Lock()
			seen = append(seen, got)
			mu.Unlock()
		})
	}
	done.Wait()
	time.Sleep(time.Second)
	return t.judgeTwice(pool, seen), nil
}

// streamed is what a client saw of a stream.
type streamed struct {
	id     string
	status int
	events int
	whole  bool
	err    error
}

// stream sends a request for a stream and reads its events.
func stream(to, id string) (o streamed) {
	o.id = id
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+pathBrief+id, strings.NewReader("prompt of "+id))
	if err != nil {
		o.err = err
		return o
	}
	req.Host, req.GetBody = host, nil
	for name, value := range map[string]string{
		"Attempt-Id": id, "Deadline-Ms": "6000", "Credential": key, "Model": "m", "Token-Counts": fmt.Sprintf("2200,%d", briefOutput),
		"Prompt-Prefix": "5c1e07a2:210,91bd3f06:140," + id[8:] + ":1850", "Length-Hint": "48",
	} {
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		o.err = err
		return o
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	o.status, o.err = resp.StatusCode, err
	want := ""
	for n := 1; n <= briefEvents; n++ {
		want += event(id, n)
	}
	o.events = strings.Count(string(body), "id: ")
	o.whole = err == nil && string(body) == want
	return o
}

func (t *trial) judgeTwice(pool []*engine, seen []streamed) int {
	whole := 0
	for _, o := range seen {
		if o.status == http.StatusOK && o.whole {
			whole++
		} else {
			t.say("%s: the client got %d with %d events (%v)", o.id, o.status, o.events, o.err)
		}
	}
	t.say("%d streams, %d of them whole at their clients", len(seen), whole)
	runs := map[string][]generation{}
	for _, e := range pool {
		for _, g := range e.list() {
			runs[g.id] = append(runs[g.id], g)
		}
	}
	twice := 0
	for id, list := range runs {
		for _, first := range list {
			for _, next := range list {
				if first.engine == next.engine || !next.arrived.After(first.arrived) {
					continue
				}
				over := first.ended.Sub(next.arrived)
				t.say("%s ran at %s from %s to %s (answer lost: %v, stopped by a move: %v) and reached %s at %s, after event %d: the first run went on for %s", id, first.engine,
					t.at(first.arrived), t.at(first.ended), first.lost, first.stopped, next.engine, t.at(next.arrived), next.after, round(max(over, 0)))
				if over > stopWithin {
					twice++
				}
			}
		}
	}
	t.say("%d requests went on at another engine while the one before still worked on them more than %s later", twice, stopWithin)
	if twice > 0 {
		return broken
	}
	return held
}
