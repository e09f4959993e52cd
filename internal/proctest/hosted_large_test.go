package proctest

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// A service grows to more upstreams than every instance can know. It is divided into
// parts with a home each, and an entry that knows nothing of an upstream takes the
// home's word for it. Meanwhile drafts run, and some upstreams leave under them: each
// draft runs once, and its caller sees every event. The home of the whole service must
// not take the upstreams that other pools have now for gone, and evacuate them all.
func TestHostedServiceIsDivided(t *testing.T) {
	t.Parallel()
	w := newFixture(t)
	w.addInstance(t, "entry-3")
	w.waitReady(t)
	const more, drafts = 130, 48
	results := make([]result, drafts)
	var wg sync.WaitGroup
	wg.Go(func() {
		for k := range more {
			w.pool = append(w.pool, w.addUpstream(t, fmt.Sprintf("grown-%d", k), hosting.Pool, func(k *hosting.Worker) {
				k.EventEvery, k.EventCount, k.CopyTime = 25*time.Millisecond, streamEvents, 30*time.Millisecond
			}))
		}
	})
	for k := range drafts {
		wg.Go(func() {
			time.Sleep(time.Duration(k) * 60 * time.Millisecond)
			results[k] = w.do(w.machines[k%len(w.machines)], generation(fmt.Sprintf("g%d", k)))
		})
	}
	time.Sleep(1500 * time.Millisecond)
	for _, k := range w.pool[:poolUpstreams] {
		k.Leave()
		time.AfterFunc(1500*time.Millisecond, k.Crash)
	}
	wg.Wait()
	arrivals := w.Arrivals()
	for k, r := range results {
		id := fmt.Sprintf("g%d", k)
		checkComplete(t, id, r, arrivals[id])
	}
	homes := 0
	for _, p := range w.procs {
		homes += strings.Count(p.output(), "event=home_began pool="+hosting.Pool+"/")
	}
	if homes < 2 {
		t.Errorf("%d homes of parts have begun", homes)
	}
	for _, line := range logLines(w.procs, "event=evacuation_began") {
		if strings.HasSuffix(strings.TrimSpace(line), " pool="+hosting.Pool) && !strings.Contains(line, " running=0 ") {
			t.Errorf("the home of the whole service evacuates what other pools have: %s", line)
		}
	}
	testkit.Eventually(t, waitTimeout, "an instance forgets what it does not use", func() bool {
		for _, p := range w.procs {
			if strings.Contains(p.output(), "event=groups_kept") {
				return true
			}
		}
		return false
	})
}

// logLines returns the lines of some processes' output that hold a text.
func logLines(procs []*process, text string) (out []string) {
	for _, p := range procs {
		for line := range strings.Lines(p.output()) {
			if strings.Contains(line, text) {
				out = append(out, line)
			}
		}
	}
	return out
}
