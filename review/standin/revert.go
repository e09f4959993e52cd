package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the case.
const (
	oldKey = "wsjnbanfqasnmgkcuyj8"
	// revokeWithin is revoke_ms of the deployment.
	revokeWithin = 5 * time.Second
	// revokedFor is the time from the acknowledgement of the revocation to the drill. The copy is from just before
	// the revocation.
	revokedFor  = 4500 * time.Millisecond
	copyOfDrill = revokedFor + away + 500*time.Millisecond
	// rewriteAfter is the time from the return of the store until the operator has written its configuration again.
	rewriteAfter = time.Second
	probeFor     = 3 * time.Second
	probePause   = 40 * time.Millisecond
)

// configWithKeys is the configuration of a version with some keys of the tenant.
func configWithKeys(version int, keys ...string) map[string]any {
	c := config()
	c["version"] = version
	c["tenants"] = []any{map[string]any{"name": tenant, "api_keys": keys, "priority": 1}}
	return c
}

// playRevert takes a key away and then lets the store come back from a copy that still has it, as a machine is
// added to the system. It checks that no request with the key runs that was sent later than revokeWithin.
func playRevert(t *trial) (int, error) {
	s, err := startStore(t.network + ".1")
	if err != nil {
		return notRun, err
	}
	defer s.server.Close()
	s.put("op", "config", configWithKeys(7, key, oldKey))
	var desk []*worker
	for k := range 3 {
		w, err := startWorker(s, t.network+".2", fmt.Sprintf("i-desk-%d", k+1), "order-desk", zone, workTime)
		if err != nil {
			return notRun, err
		}
		defer w.exit()
		desk = append(desk, w)
	}
	if t.fleet, err = startFleet(t.dir, s.address, t.network, 3); err != nil {
		return notRun, err
	}
	t.say("3 processes of the system are ready; 3 servers of order-desk")
	time.Sleep(6 * time.Second)
	revoked, ok := s.put("op", "config", configWithKeys(9, key))
	if !ok {
		return notRun, fmt.Errorf("the store did not accept the configuration")
	}
	t.say("the store has accepted version 9, which takes a key away, at %s", t.at(revoked))
	time.Sleep(revokedFor)
	rewritten := time.After(away + rewriteAfter)
	if t.trouble {
		s.goAway()
		t.say("the store is away")
		time.Sleep(away)
		before, after := s.comeBack(copyOfDrill)
		t.say("the store is back with a copy of %s ago: era 2, version %d after %d", copyOfDrill, after, before)
	} else {
		time.Sleep(away)
	}
	added, err := newInstance(fmt.Sprintf("frontend-%s-4", zone), t.network+".20")
	if err != nil {
		return notRun, err
	}
	if err := added.start(t.dir, s.address, seedsOf(t.fleet)); err != nil {
		return notRun, err
	}
	t.fleet = append(t.fleet, added)
	t.say("%s is added", added.name)
	seen := t.probeKey(rewritten, func() {
		s.put("op", "config", configWithKeys(9, key))
		t.say("the operator has written version 9 again")
	})
	return t.judgeRevert(desk, seen, revoked), nil
}

// seedsOf lists the control addresses of processes.
func seedsOf(fleet []*instance) (seeds []string) {
	for _, i := range fleet {
		seeds = append(seeds, i.control)
	}
	return seeds
}

// probeKey sends requests with the key that was taken away to all processes, and calls rewrite once.
func (t *trial) probeKey(rewritten <-chan time.Time, rewrite func()) []outcome {
	var mu sync.Mutex
	var seen []outcome
	var done sync.WaitGroup
	end := time.Now().Add(probeFor)
	for k := 0; time.Now().Before(end); k++ {
		select {
		case <-rewritten:
			rewrite()
		case <-time.After(probePause):
		}
		for n, i := range t.fleet {
			done.Go(func() {
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
				o := sendWith(client, i.callers, fmt.Sprintf("%04x%012x", n, k), oldKey, false)
				mu.Lock()
				defer mu.Unlock()
				seen = append(seen, o)
			})
		}
	}
	done.Wait()
	return seen
}

func (t *trial) judgeRevert(desk []*worker, seen []outcome, revoked time.Time) int {
	ran := map[string]arrival{}
	for _, w := range desk {
		for _, a := range w.list() {
			if a.ran {
				ran[a.id] = a
			}
		}
	}
	answers := map[string]map[string]int{}
	late := 0
	for _, o := range seen {
		if answers[o.to] == nil {
			answers[o.to] = map[string]int{}
		}
		answers[o.to][fmt.Sprint(o.status)]++
		a, ok := ran[o.id]
		after := o.sent.Sub(revoked)
		if !ok || after <= revokeWithin {
			continue
		}
		if late++; late <= 5 {
			t.say("%s, sent to %s %s after the revocation, ran at %s; the client got %d", o.id, o.to, round(after), a.server, o.status)
		}
	}
	for _, i := range t.fleet {
		t.say("%s (%s): answers by status (0: none) %v", i.name, i.callers, answers[i.callers])
	}
	t.say("%d bookings ran that were sent with the key later than revoke_ms after it was taken away", late)
	if late > 0 {
		return broken
	}
	return held
}
