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

// A service grows to more upstreams than a single instance can track. The service is divided into
// groups, each with its own home, and an entry uses an upstream that is not in its own list if the
// home grants that upstream. Meanwhile generations run and some upstreams leave: each generation
// must run once, and its caller must receive every event. The home of the undivided service must
// not treat upstreams that now belong to groups as removed and evacuate them.
func TestHostedServiceIsDivided(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.addInstance(t, "entry-3")
	f.waitReady(t)
	const added, generations = 130, 48
	results := make([]result, generations)
	var wg sync.WaitGroup
	wg.Go(func() {
		for k := range added {
			f.pool = append(f.pool, f.addUpstream(t, fmt.Sprintf("grown-%d", k), hosting.Pool, func(k *hosting.Worker) {
				k.EventEvery, k.EventCount, k.CopyTime = 25*time.Millisecond, streamEvents, 30*time.Millisecond
			}))
		}
	})
	for k := range generations {
		wg.Go(func() {
			time.Sleep(time.Duration(k) * 60 * time.Millisecond)
			results[k] = f.do(f.machines[k%len(f.machines)], generation(fmt.Sprintf("g%d", k)))
		})
	}
	time.Sleep(1500 * time.Millisecond)
	for _, k := range f.pool[:poolUpstreams] {
		k.Leave()
		time.AfterFunc(1500*time.Millisecond, k.Crash)
	}
	wg.Wait()
	arrivals := f.Arrivals()
	for k, r := range results {
		id := fmt.Sprintf("g%d", k)
		checkComplete(t, id, r, arrivals[id])
	}
	homes := 0
	for _, p := range f.procs {
		homes += strings.Count(p.output(), "event=home_began pool="+hosting.Pool+"/")
	}
	if homes < 2 {
		t.Errorf("%d instances became homes of groups, want at least 2", homes)
	}
	for _, line := range logLines(f.procs, "event=evacuation_began") {
		if strings.HasSuffix(strings.TrimSpace(line), " pool="+hosting.Pool) && !strings.Contains(line, " running=0 ") {
			t.Errorf("the home of the undivided service evacuates upstreams of its groups, want no evacuation: %s", line)
		}
	}
	testkit.Eventually(t, waitTimeout, "an instance has dropped the groups that it does not use", func() bool {
		for _, p := range f.procs {
			if strings.Contains(p.output(), "event=groups_kept") {
				return true
			}
		}
		return false
	})
}

// logLines returns the lines in the output of some processes that contain text.
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
