package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/pace"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// cordon cordons the data centres of some upstreams.
func (s *sim) cordon(ids ...string) {
	var dcs []string
	for _, id := range ids {
		dcs = append(dcs, s.find(id).DataCentre)
	}
	s.cordons = cordon.NewSet(s.cordons.Version+1, dcs)
	s.sync()
}

// A data centre is cordoned under load. It must get no grant and no move, what runs there
// must stay, and work must return at once when the cordon is lifted.
func TestACordonedDataCentreGetsNoWork(t *testing.T) {
	s := newSim(t, 6)
	s.fill(18, 100*time.Millisecond)
	s.cordon("u01", "u03")
	there := map[string]string{}
	for attempt, u := range s.granted {
		if u == "u01" || u == "u03" {
			there[attempt] = u
		}
	}
	for k := range 20 {
		s.ask(fmt.Sprintf("b-%02d", k), 3000, 200)
		s.pass(100 * time.Millisecond)
	}
	s.find("u00").LeavingSince = s.now
	s.sync()
	for k := 0; k < len(s.orders) && k < 20; k++ {
		s.answer(s.orders[k], msg.MoveDone)
	}
	if len(s.orders) == 0 || len(there) == 0 {
		t.Fatal("nothing was moved or ran there: the test shows nothing")
	}
	for _, o := range s.orders {
		if o.From != "u00" || o.To == "u01" || o.To == "u03" {
			t.Errorf("order %+v", o)
		}
	}
	for attempt, u := range s.granted {
		if (u == "u01" || u == "u03") && there[attempt] != u {
			t.Errorf("%s was given to %s, which is cordoned", attempt, u)
		}
	}
	s.pass(8 * time.Second)
	s.cordon()
	for k := range 12 {
		s.ask(fmt.Sprintf("c-%02d", k), 3000, 200)
		s.pass(100 * time.Millisecond)
	}
	if n := s.on("u01") + s.on("u03"); n < 3 || n > 9 {
		t.Errorf("%d of 12 went to the two of six upstreams that are back", n)
	}
}

// All data centres are cordoned while asks wait. They must be refused at once, not when
// their patience ends, and so must those that come.
func TestAsksThatWaitForCordonedUpstreamsAreRefusedAtOnce(t *testing.T) {
	s := newSim(t, 2)
	for k := range 30 {
		s.ask(fmt.Sprintf("a-%02d", k), 3000, 900)
	}
	waiting := len(s.asks) - len(s.granted) - len(s.refused)
	s.cordon("u00", "u01")
	s.now = s.now.Add(10 * time.Millisecond)
	s.home.Tick(s.now)
	s.drain()
	if waiting == 0 || len(s.granted)+len(s.refused) != 30 {
		t.Errorf("%d waited, %d were granted and %d refused of 30", waiting, len(s.granted), len(s.refused))
	}
	s.home.Ask(s.now, entry, msg.GrantAsk{Pool: "pool", Ask: placement.Ask{Attempt: "new", Prompt: 10, MaxOutput: 10}})
	for _, o := range s.home.Take() {
		if a, ok := o.Msg.(msg.GrantAnswer); ok && a.Decision.Reason != placement.ReasonCordoned {
			t.Errorf("decision %+v", a.Decision)
		}
	}
}

// Upstreams become cold, also in the middle of a burst and without a word. Whatever two
// homes that both believe in themselves grant and move, no upstream that is known to be cold
// may get more in any second than it bears, and no other more than that from either.
func TestPropertyNoColdUpstreamIsRunOver(t *testing.T) {
	const rate = 10
	props := gopter.NewProperties(testkit.Parameters())
	props.Property("no cold upstream is run over", prop.ForAll(
		func(draws []int) string {
			now := start
			homes := []*Home{NewHome("pool", engine, 0, 0), NewHome("pool", engine, 0, 0)}
			cold := []*roster.Upstream{}
			for k := range 3 {
				cold = append(cold, &roster.Upstream{Entry: roster.Entry{ID: fmt.Sprint("u", k), DataCentre: "dc", Slots: 24}, Seen: now})
			}
			cold[0].ColdUntil = now.Add(time.Hour)
			given := map[string][]time.Time{}
			for step, d := range draws {
				now = now.Add(time.Duration(d%40) * time.Millisecond)
				h := homes[d%2]
				h.Sync(now, Listing{Answered: now, Upstreams: cold, Cordons: cordon.NewSet(1, nil), ColdRate: rate})
				for k := range 4 {
					h.Ask(now, entry, msg.GrantAsk{Pool: "pool", Ask: placement.Ask{Attempt: fmt.Sprint(step, "-", k), Prompt: 5, MaxOutput: 5, MaxWait: time.Second}})
				}
				if d%7 == 0 {
					h.Tick(now)
				}
				for _, o := range h.Take() {
					if a, ok := o.Msg.(msg.GrantAnswer); ok && a.Decision.Kind == placement.Granted {
						given[a.Decision.Upstream] = append(given[a.Decision.Upstream], now)
						h.End(now, msg.GrantEnd{Pool: "pool", Attempt: a.Decision.Attempt, Tokens: 5})
					}
				}
			}
			for id, times := range given {
				most := 2 * rate
				if id == "u0" {
					most = rate
				}
				for k := range times {
					if k >= most && times[k].Sub(times[k-most]) < pace.Window {
						return fmt.Sprintf("%s got more than %d in a second", id, most)
					}
				}
			}
			return ""
		},
		gen.SliceOfN(60, gen.IntRange(0, 1000)),
	))
	props.TestingRun(t)
}

// Generations are confined to two of six data centres. Neither a grant nor a move may take them
// elsewhere, and when both have lost their upstreams they are refused at once.
func TestConfinedGenerationsStayInTheirDataCentres(t *testing.T) {
	s := newSim(t, 6)
	allowed := []string{s.find("u01").DataCentre, s.find("u04").DataCentre}
	ask := func(attempt string) {
		a := placement.Ask{Attempt: attempt, Org: "org", Prompt: 1000, MaxOutput: 900, Expected: 900, MaxWait: 3 * time.Second, DataCentres: allowed}
		s.asks[attempt] = a
		s.home.Ask(s.now, entry, msg.GrantAsk{Pool: "pool", Ask: a})
		s.drain()
	}
	for k := range 8 {
		ask(fmt.Sprint("a-", k))
		s.pass(200 * time.Millisecond)
	}
	if s.on("u01")+s.on("u04") != 8 {
		t.Fatalf("granted %v", s.granted)
	}
	s.find("u01").LeavingSince = s.now
	s.sync()
	for k := 0; k < len(s.orders) && k < 20; k++ {
		if s.orders[k].To != "u04" {
			t.Errorf("order %+v", s.orders[k])
		}
		s.answer(s.orders[k], msg.MoveDone)
	}
	if len(s.orders) == 0 {
		t.Error("nothing was moved: the test shows nothing")
	}
	s.find("u04").LeavingSince = s.now
	s.sync()
	ask("late")
	if _, refused := s.refused["late"]; !refused {
		t.Error("it waits for upstreams where it may not run")
	}
}
