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

// Two data centres are cordoned under load. They must get no grants and no moves, generations that
// run there must stay, and new work must be placed there again once the cordon is lifted.
func TestACordonedDataCentreGetsNoWork(t *testing.T) {
	s := newSim(t, 6)
	s.fill(18, 100*time.Millisecond)
	s.cordon("u01", "u03")
	before := map[string]string{}
	for attempt, u := range s.granted {
		if u == "u01" || u == "u03" {
			before[attempt] = u
		}
	}
	for k := range 20 {
		s.requestGrant(fmt.Sprintf("b-%02d", k), 3000, 200)
		s.advance(100 * time.Millisecond)
	}
	s.find("u00").LeavingSince = s.now
	s.sync()
	for k := 0; k < len(s.orders) && k < 20; k++ {
		s.reportOutcome(s.orders[k], msg.MoveDone)
	}
	if len(s.orders) == 0 || len(before) == 0 {
		t.Fatal("no move was ordered, or no generation ran in the cordoned data centres: the test checks nothing")
	}
	for _, o := range s.orders {
		if o.From != "u00" || o.To == "u01" || o.To == "u03" {
			t.Errorf("move order = %+v, want from u00 to an upstream that is not cordoned", o)
		}
	}
	for attempt, u := range s.granted {
		if (u == "u01" || u == "u03") && before[attempt] != u {
			t.Errorf("%s: placed on %s, which is cordoned", attempt, u)
		}
	}
	s.advance(8 * time.Second)
	s.cordon()
	for k := range 12 {
		s.requestGrant(fmt.Sprintf("c-%02d", k), 3000, 200)
		s.advance(100 * time.Millisecond)
	}
	if n := s.countOn("u01") + s.countOn("u03"); n < 3 || n > 9 {
		t.Errorf("generations on u01 and u03, two of six upstreams, after the end of their cordon = %d of 12, want 3 to 9", n)
	}
}

// All data centres are cordoned while requests are queued. These must be refused at once instead
// of at their maximum wait, and so must new requests.
func TestRequestsForCordonedUpstreamsAreRefusedAtOnce(t *testing.T) {
	s := newSim(t, 2)
	for k := range 30 {
		s.requestGrant(fmt.Sprintf("a-%02d", k), 3000, 900)
	}
	waiting := len(s.requests) - len(s.granted) - len(s.refused)
	s.cordon("u00", "u01")
	s.now = s.now.Add(10 * time.Millisecond)
	s.home.Tick(s.now)
	s.deliverMessages()
	if waiting == 0 || len(s.granted)+len(s.refused) != 30 {
		t.Errorf("of 30 requests %d were queued, then %d granted and %d refused, want some queued and all decided", waiting, len(s.granted), len(s.refused))
	}
	s.home.Place(s.now, entry, msg.GrantRequest{Pool: "pool", Request: placement.Request{Attempt: "new", Prompt: 10, MaxOutput: 10}})
	for _, o := range s.home.TakeMessages() {
		if a, ok := o.Msg.(msg.GrantResponse); ok && a.Decision.Reason != placement.ReasonCordoned {
			t.Errorf("decision on a new request = %+v, want refused with reason cordoned", a.Decision)
		}
	}
}

// Upstreams may become cold during a burst without being known to be, and two instances may both
// act as home. In any second, both homes together must not start more requests on an upstream that
// is known to be cold than it accepts, and each home not more than that on any other upstream.
func TestPropertyColdUpstreamsAreNotOverloaded(t *testing.T) {
	const rate = 10
	props := gopter.NewProperties(testkit.Parameters())
	props.Property("no cold upstream is overloaded", prop.ForAll(
		func(draws []int) string {
			now := start
			homes := []*Home{NewHome("pool", engine, 0, 0), NewHome("pool", engine, 0, 0)}
			cold := []*roster.Upstream{}
			for k := range 3 {
				cold = append(cold, &roster.Upstream{Entry: roster.Entry{ID: fmt.Sprint("u", k), DataCentre: "dc", Slots: 24}, FirstSeen: now})
			}
			cold[0].ColdUntil = now.Add(time.Hour)
			started := map[string][]time.Time{}
			for step, d := range draws {
				now = now.Add(time.Duration(d%40) * time.Millisecond)
				h := homes[d%2]
				h.Sync(now, Listing{Answered: now, Upstreams: cold, Cordons: cordon.NewSet(1, nil), ColdRate: rate})
				for k := range 4 {
					h.Place(now, entry, msg.GrantRequest{Pool: "pool", Request: placement.Request{Attempt: fmt.Sprint(step, "-", k), Prompt: 5, MaxOutput: 5, MaxWait: time.Second}})
				}
				if d%7 == 0 {
					h.Tick(now)
				}
				for _, o := range h.TakeMessages() {
					if a, ok := o.Msg.(msg.GrantResponse); ok && a.Decision.Kind == placement.Granted {
						started[a.Decision.Upstream] = append(started[a.Decision.Upstream], now)
						h.End(now, msg.GrantEnd{Pool: "pool", Attempt: a.Decision.Attempt, Tokens: 5})
					}
				}
			}
			for id, times := range started {
				limit := 2 * rate
				if id == "u0" {
					limit = rate
				}
				for k := range times {
					if k >= limit && times[k].Sub(times[k-limit]) < pace.Window {
						return fmt.Sprintf("%s: more than %d requests in a second", id, limit)
					}
				}
			}
			return ""
		},
		gen.SliceOfN(60, gen.IntRange(0, 1000)),
	))
	props.TestingRun(t)
}

// Requests are limited to two of six data centres. Neither a grant nor a move may place them in
// another one, and once the upstreams of both are leaving, new requests must be refused at once.
func TestConfinedGenerationsStayInTheirDataCentres(t *testing.T) {
	s := newSim(t, 6)
	allowed := []string{s.find("u01").DataCentre, s.find("u04").DataCentre}
	request := func(attempt string) {
		a := placement.Request{Attempt: attempt, Org: "org", Prompt: 1000, MaxOutput: 900, Expected: 900, MaxWait: 3 * time.Second, DataCentres: allowed}
		s.requests[attempt] = a
		s.home.Place(s.now, entry, msg.GrantRequest{Pool: "pool", Request: a})
		s.deliverMessages()
	}
	for k := range 8 {
		request(fmt.Sprint("a-", k))
		s.advance(200 * time.Millisecond)
	}
	if s.countOn("u01")+s.countOn("u04") != 8 {
		t.Fatalf("granted = %v, want all 8 on u01 and u04", s.granted)
	}
	s.find("u01").LeavingSince = s.now
	s.sync()
	for k := 0; k < len(s.orders) && k < 20; k++ {
		if s.orders[k].To != "u04" {
			t.Errorf("move order = %+v, want to u04", s.orders[k])
		}
		s.reportOutcome(s.orders[k], msg.MoveDone)
	}
	if len(s.orders) == 0 {
		t.Error("no move was ordered, want moves off u01")
	}
	s.find("u04").LeavingSince = s.now
	s.sync()
	request("late")
	if _, refused := s.refused["late"]; !refused {
		t.Error("request without an upstream in its data centres was not refused, want refused at once")
	}
}
