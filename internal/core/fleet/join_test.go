package fleet

import (
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// answered is what the seeds say at a moment, and how many instances are known then.
type answered struct {
	msg.JoinAnswer
	known int
}

// joins plays an instance's start: answer returns what the seeds say to a question at a
// moment, nil for nothing. It returns how the instance joined, when, and how often it
// asked.
func joins(seeds bool, answer func(d time.Duration) *answered) (by JoinStep, at time.Duration, asks int) {
	j := NewJoin(start, seeds)
	for at = 0; at < 10*time.Second; at += 10 * time.Millisecond {
		switch by = j.Next(start.Add(at)); by {
		case JoinDone, JoinByStore:
			return by, at, asks
		case JoinAskSeeds:
			asks++
			if a := answer(at); a != nil {
				j.Answered(a.JoinAnswer, a.known)
			}
		case JoinWait:
		}
	}
	return by, at, asks
}

func TestJoining(t *testing.T) {
	says := func(a msg.JoinAnswer, known int) func(time.Duration) *answered {
		return func(time.Duration) *answered { return &answered{a, known} }
	}
	// starting is a fleet of 200 whose instances start within 0.3 s, seeds after some.
	starting := func(seeds time.Duration) func(time.Duration) *answered {
		return func(d time.Duration) *answered {
			if d < seeds {
				return nil
			}
			return &answered{known: int(200 * min(d.Seconds()/0.3, 1))}
		}
	}
	for _, c := range []struct {
		name   string
		seeds  bool
		answer func(time.Duration) *answered
		by     JoinStep
		from   time.Duration
		to     time.Duration
		asks   int // at least
	}{
		{"a replaced instance: its seeds know the fleet", true, says(msg.JoinAnswer{Settled: true}, 200), JoinDone, 0, 20 * time.Millisecond, 1},
		{"all start at once: until all are known", true, starting(0), JoinDone, 300 * time.Millisecond, 500 * time.Millisecond, 4},
		{"seeds start last: asked once more", true, starting(280 * time.Millisecond), JoinDone, 380 * time.Millisecond, 500 * time.Millisecond, 5},
		{"more and more come: not for ever", true, func(d time.Duration) *answered { return &answered{known: int(100 * d.Seconds())} }, JoinDone, settleTimeout, settleTimeout, 7},
		{"seeds are cut off from the others: the store", true, says(msg.JoinAnswer{Isolated: true, Settled: true}, 3), JoinByStore, seedTimeout, seedTimeout, 5},
		{"seeds are gone: the store", true, func(time.Duration) *answered { return nil }, JoinByStore, seedTimeout, seedTimeout, 5},
		{"no seeds: the store", false, nil, JoinByStore, 0, 0, 0},
	} {
		by, at, asks := joins(c.seeds, c.answer)
		if by != c.by || at < c.from || at > c.to || asks < c.asks {
			t.Errorf("%s: joined by step %d after %v and %d questions", c.name, by, at, asks)
		}
	}
}

// The answer to an instance that has just started names those that live, and not the
// dead that are remembered; whoever knows the same is told nothing more.
func TestJoinAnswers(t *testing.T) {
	f := fleetOf(0, 6)
	now := start.Add(10 * time.Second)
	for k := 1; k < 5; k++ {
		f.Heard(now, heartbeat(k))
	}
	f.Tick(now)
	f.SetSelf(now, true, false, true)
	newcomer := heartbeat(9)
	f.Heard(now, newcomer)
	a := f.JoinAnswer(msg.JoinAsk{Sender: newcomer, Known: New(now, newcomer, nil, 0).JoinAsk().Known}, true)
	named := map[string]bool{}
	for _, b := range a.Instances {
		named[b.Name] = true
	}
	if len(named) != 6 || !named["i00"] || !named["i04"] || named["i05"] || !a.Settled || a.Isolated {
		t.Errorf("settled %v, isolated %v, named %v", a.Settled, a.Isolated, named)
	}
	if same := f.JoinAnswer(msg.JoinAsk{Known: f.JoinAsk().Known}, true); same.Instances != nil {
		t.Errorf("%d instances are told to one that knows them", len(same.Instances))
	}
	if young := fleetOf(0, 6); young.JoinAnswer(msg.JoinAsk{}, true).Settled || f.JoinAnswer(msg.JoinAsk{}, false).Settled {
		t.Error("an instance that has just started, or not joined, speaks for the fleet")
	}
}

// A seed that is cut off from most others would make a newcomer join the smaller side.
func TestAnIsolatedSeedSaysSo(t *testing.T) {
	f := fleetOf(0, 12)
	now := start.Add(10 * time.Second)
	f.Heard(now, heartbeat(1))
	f.Tick(now)
	f.SetSelf(now, true, false, true)
	if !f.JoinAnswer(msg.JoinAsk{}, true).Isolated {
		t.Error("a seed that has lost ten of eleven others does not say so")
	}
}
