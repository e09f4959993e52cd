package pool

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/ratelimit"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
)

var start = time.Unix(1000, 0)

// engine describes a pool of small engines like those in deployments of this system: each has
// memory for eight generations, and a copy of 3,200 tokens takes 0.18 s.
var engine = route.Engine{
	Slots: 24, MemoryToken: 34_000, TokenBytes: 18_432, LinkMbps: 2_700,
	Moves: true, Backups: true, CopyTTL: 5 * time.Second, EventTokens: 4,
}

// entry is the entry of all requests unless a test states another one. It has no data centre.
var entry = Entry{Name: "entry"}

// sim simulates the upstreams and an entry of a home with virtual time.
type sim struct {
	t    *testing.T
	now  time.Time
	home *Home
	// list holds the upstreams in the store's list, which sync passes to the home.
	list []*roster.Upstream
	// granted maps running attempts to upstreams. refused maps refused attempts to their
	// Retry-After. orders lists all move orders received.
	granted  map[string]string
	refused  map[string]time.Duration
	orders   []msg.MoveOrder
	requests map[string]placement.Request
	// prefilledAt holds when the prefill of each attempt ends. announcedFirst is set once the home
	// was notified of the attempt's first token. prefillUntil holds when the last prefill of each
	// upstream ends.
	prefilledAt    map[string]time.Time
	announcedFirst map[string]bool
	prefillUntil   map[string]time.Time
	// storeAge is the age of the store's last reply.
	storeAge time.Duration
	// cordons, coldRate and rateLimits are passed to the home in each listing.
	cordons    cordon.Set
	coldRate   float64
	rateLimits map[string]ratelimit.Limit
}

func newSim(t *testing.T, upstreams int) *sim {
	s := &sim{t: t, now: start, home: NewHome("pool", engine, 0, 0), granted: map[string]string{}, refused: map[string]time.Duration{}, requests: map[string]placement.Request{}, prefilledAt: map[string]time.Time{}, announcedFirst: map[string]bool{}, prefillUntil: map[string]time.Time{}}
	for k := range upstreams {
		s.join(fmt.Sprintf("u%02d", k))
	}
	s.sync()
	return s
}

func (s *sim) join(id string) {
	s.list = append(s.list, &roster.Upstream{
		Entry: roster.Entry{ID: id, Service: "pool", Address: id + ":80", DataCentre: "dc-" + id[len(id)-1:], Slots: 24, Software: "v1"}, FirstSeen: s.now,
	})
}

func (s *sim) find(id string) *roster.Upstream {
	for _, u := range s.list {
		if u.ID == id {
			return u
		}
	}
	return nil
}

// confirmed returns the time as of which the store last confirmed the list.
func (s *sim) confirmed() time.Time { return s.now.Add(-s.storeAge) }

func (s *sim) sync() {
	s.home.Sync(s.now, Listing{Answered: s.confirmed(), Upstreams: s.list, Cordons: s.cordons, ColdRate: s.coldRate, RateLimits: s.rateLimits})
	s.deliverMessages()
}

// advance advances the time in steps. In each, entries announce progress, the home ticks and gets a
// listing.
func (s *sim) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(100 * time.Millisecond)
		s.sendFirstTokens()
		s.announce()
		s.home.Tick(s.now)
		s.sync()
	}
}

const (
	// tokenTime is the time that an upstream takes for an output token.
	tokenTime = 8 * time.Millisecond
	// simPrefillRate is the prefill throughput of an upstream in tokens a second. It computes one
	// prompt after another.
	simPrefillRate = 7200
)

// prefill schedules the prefill of an attempt's prompt on an upstream.
func (s *sim) prefill(attempt, upstream string) {
	begin := s.now
	if s.prefillUntil[upstream].After(begin) {
		begin = s.prefillUntil[upstream]
	}
	end := begin.Add(time.Duration(float64(s.requests[attempt].Prompt) / simPrefillRate * float64(time.Second)))
	s.prefillUntil[upstream], s.prefilledAt[attempt] = end, end
}

// sendFirstTokens notifies the home of the first tokens that have been produced.
func (s *sim) sendFirstTokens() {
	for _, attempt := range slices.Sorted(maps.Keys(s.granted)) {
		if !s.announcedFirst[attempt] && !s.now.Before(s.prefilledAt[attempt]) {
			s.announcedFirst[attempt] = true
			s.home.OnFirstToken(s.now, msg.FirstToken{Pool: "pool", Attempt: attempt})
		}
	}
	s.deliverMessages()
}

// announce sends the entry's announcement of running generations and ends those that are complete.
func (s *sim) announce() {
	var running []msg.RunningAttempt
	for _, attempt := range slices.Sorted(maps.Keys(s.granted)) {
		req, tokens := s.requests[attempt], max(int(s.now.Sub(s.prefilledAt[attempt])/tokenTime), 0)
		if tokens >= req.MaxOutput {
			s.home.End(s.now, msg.GrantEnd{Pool: "pool", Attempt: attempt, Tokens: req.MaxOutput})
			delete(s.granted, attempt)
			continue
		}
		running = append(running, msg.RunningAttempt{Request: req, Upstream: s.granted[attempt], Tokens: tokens})
	}
	s.home.Announce(s.now, entry, msg.Announce{Pool: "pool", Running: running})
}

// deliverMessages applies the home's outgoing messages to the simulation.
func (s *sim) deliverMessages() {
	for _, o := range s.home.TakeMessages() {
		switch m := o.Msg.(type) {
		case msg.GrantResponse:
			switch m.Decision.Kind {
			case placement.Granted:
				s.granted[m.Decision.Attempt] = m.Decision.Upstream
				s.prefill(m.Decision.Attempt, m.Decision.Upstream)
			case placement.Refused:
				s.refused[m.Decision.Attempt] = m.Decision.RetryAfter
			}
		case msg.MoveOrder:
			s.orders = append(s.orders, m)
		}
	}
}

// fill requests n generations at an interval, with the attempts d-00, d-01 and so on. Each has a
// prompt of 3,000 tokens and 900 output tokens.
func (s *sim) fill(n int, interval time.Duration) {
	for k := range n {
		s.requestGrant(fmt.Sprintf("d-%02d", k), 3000, 900)
		s.advance(interval)
	}
}

// requestGrant sends a request of the entry for a grant.
func (s *sim) requestGrant(attempt string, prompt, output int) {
	req := placement.Request{
		Attempt: attempt, Org: "org", Prompt: prompt, MaxOutput: output, Expected: output, MaxWait: 3 * time.Second,
		FirstTarget: 1500 * time.Millisecond,
	}
	s.requests[attempt] = req
	s.home.Place(s.now, entry, msg.GrantRequest{Pool: "pool", Request: req})
	s.deliverMessages()
}

// countOn returns the number of attempts granted on an upstream.
func (s *sim) countOn(id string) (n int) {
	for _, u := range s.granted {
		if u == id {
			n++
		}
	}
	return n
}

// fullest returns the upstream that runs the most attempts.
func (s *sim) fullest() string {
	best := ""
	for _, u := range s.list {
		if best == "" || s.countOn(u.ID) > s.countOn(best) {
			best = u.ID
		}
	}
	return best
}

// reportOutcome reports the outcome of a move order to the home.
func (s *sim) reportOutcome(o msg.MoveOrder, outcome msg.MoveOutcome) {
	s.home.OnMoveResult(s.now, msg.MoveResult{Pool: "pool", Attempt: o.Attempt, Number: o.Number, Outcome: outcome})
	if outcome == msg.MoveDone {
		s.granted[o.Attempt] = o.To
	}
	s.deliverMessages()
}

// Two of twelve upstreams are replaced every three seconds, while eleven prompts of 3,000 tokens
// arrive each second. All memory of a new upstream is free. The first token is due after 1.5 s, and
// an upstream computes 7,200 prompt tokens a second while it decodes, so that at most three prompts
// may wait at one upstream. When upstreams were selected by free memory alone, a new one got 13 of
// 36.
func TestANewUpstreamIsNotOverloadedWithPrompts(t *testing.T) {
	s := newSim(t, 8)
	for k := range 48 {
		s.requestGrant(fmt.Sprintf("old-%d", k), 3000, 900)
		s.advance(100 * time.Millisecond)
	}
	s.join("new")
	s.sync()
	for k := range 11 {
		s.requestGrant(fmt.Sprintf("a-%d", k), 3000, 900)
		s.advance(100 * time.Millisecond)
	}
	if n := s.countOn("new"); n < 2 || n > 3 {
		t.Errorf("prompts on the new upstream = %d of 11 in about a second, want 2 or 3", n)
	}
}

// An upstream with about five generations is leaving and serves for another 1.5 s. Copies share its
// link, so that moves must be ordered one at a time, if possible to an upstream in the same data
// centre, to which a copy takes half the time. All must complete within the notice.
func TestEvacuationIsOrderedOneAtATime(t *testing.T) {
	s := newSim(t, 12)
	s.fill(60, 200*time.Millisecond)
	s.advance(time.Second)
	leaving := s.fullest()
	before := s.countOn(leaving)
	s.find(leaving).LeavingSince = s.now
	s.sync()
	s.sync()
	if before < 3 || len(s.orders) != 1 {
		t.Fatalf("generations on the leaving upstream = %d, orders = %d, want at least 3 and exactly one order", before, len(s.orders))
	}
	for k := 0; k < len(s.orders) && k < 20; k++ {
		o := s.orders[k]
		if o.From != leaving || o.To == leaving {
			t.Fatalf("move order = %+v, want from the leaving upstream to another one", o)
		}
		s.now = s.now.Add(150 * time.Millisecond)
		s.reportOutcome(o, msg.MoveDone)
	}
	if took := s.now.Sub(s.find(leaving).LeavingSince); took > 1200*time.Millisecond {
		t.Errorf("duration of all moves = %v, want at most 1.2 s", took)
	}
	s.advance(300 * time.Millisecond) // generations that are about to end are not moved
	if left := s.countOn(leaving); left != 0 {
		t.Errorf("generations left on the leaving upstream = %d of %d, want 0", left, before)
	}
}

// Two upstreams leave at once. Each has its own link, but copies to the same destination would
// share the link of the destination: the moves must have different destinations.
func TestTwoEvacuationsHaveTwoDestinations(t *testing.T) {
	s := newSim(t, 6)
	s.fill(24, 200*time.Millisecond)
	s.find("u01").LeavingSince, s.find("u02").LeavingSince = s.now, s.now
	s.sync()
	if len(s.orders) != 2 || s.orders[0].To == s.orders[1].To {
		t.Fatalf("orders = %+v, want two with different destinations", s.orders)
	}
	for _, o := range s.orders {
		if slices.Contains([]string{"u01", "u02"}, o.To) {
			t.Errorf("move order = %+v, want a destination that is not leaving", o)
		}
	}
}

// Two of three upstreams leave at once. The third must get one copy at a time: the final part of a
// copy, during which the generation's stream pauses, must not queue behind another copy.
func TestOneDestinationTakesOneCopyAtATime(t *testing.T) {
	s := newSim(t, 3)
	s.fill(9, 200*time.Millisecond)
	s.advance(time.Second)
	s.find("u01").LeavingSince, s.find("u02").LeavingSince = s.now, s.now
	s.sync()
	if len(s.orders) != 1 || s.orders[0].To != "u00" {
		t.Fatalf("orders = %+v, want one to u00", s.orders)
	}
	s.reportOutcome(s.orders[0], msg.MoveDone)
	if len(s.orders) != 2 {
		t.Errorf("orders after the first move completed = %d, want 2", len(s.orders))
	}
}

// An upstream disappears from the list without a notice, as some do, but continues to serve for a
// while. Its generations must be moved like those of a leaving upstream.
func TestAnUnlistedUpstreamIsEvacuated(t *testing.T) {
	s := newSim(t, 4)
	s.fill(12, 200*time.Millisecond)
	s.list = s.list[1:]
	s.sync()
	if len(s.orders) != 1 || s.orders[0].From != "u00" {
		t.Errorf("orders = %+v, want one from u00", s.orders)
	}
}

// An entry fails while it carries out a move order, or its report of the outcome is lost. The home
// must give up the order in time and continue with the next generation before the upstream stops.
func TestALostOrderIsGivenUp(t *testing.T) {
	s := newSim(t, 4)
	s.fill(12, 200*time.Millisecond)
	s.find("u01").LeavingSince = s.now
	s.sync()
	s.advance(1200 * time.Millisecond)
	if len(s.orders) < 2 {
		t.Errorf("orders after the first was lost = %d, want at least 2", len(s.orders))
	}
}

// A generation can't be moved during prefill: an order for it would only delay the other moves off
// its upstream. The order must be sent once the first token is announced.
func TestNoMoveIsOrderedDuringPrefill(t *testing.T) {
	s := newSim(t, 3)
	s.requestGrant("d", 3000, 900)
	s.find(s.granted["d"]).LeavingSince = s.now
	s.sync()
	s.advance(300 * time.Millisecond)
	if len(s.orders) != 0 {
		t.Fatalf("orders during prefill = %+v, want none", s.orders)
	}
	s.advance(200 * time.Millisecond)
	if len(s.orders) != 1 {
		t.Errorf("orders after the first token = %d, want 1", len(s.orders))
	}
}

// An engine preempted a generation and computes its prompt again, so that its entry finds no
// running generation to move. The move must be retried after a short delay and not be given up.
func TestAMoveWithoutARunningGenerationIsRetried(t *testing.T) {
	s := newSim(t, 3)
	s.requestGrant("d", 3000, 900)
	s.advance(500 * time.Millisecond)
	s.find(s.granted["d"]).LeavingSince = s.now
	s.sync()
	for range 4 {
		last := s.orders[len(s.orders)-1]
		s.reportOutcome(last, msg.MoveNoRun)
		n := len(s.orders)
		s.advance(200 * time.Millisecond)
		if len(s.orders) == n {
			t.Fatalf("move orders = %d after the retry delay, unchanged; want one more", n)
		}
	}
}

// The home's instance fails, and another takes over with an empty ledger. It must rebuild the
// ledger from the entries' announcements, so that it can evacuate an upstream that leaves then.
func TestANewHomeEvacuatesAnnouncedGenerations(t *testing.T) {
	s := newSim(t, 3)
	s.home.Announce(s.now, entry, msg.Announce{Pool: "pool", Running: []msg.RunningAttempt{{
		Request: placement.Request{Attempt: "d", Org: "org", Prompt: 3000, MaxOutput: 900, Expected: 900}, Upstream: "u01", Tokens: 100,
	}}})
	s.find("u01").LeavingSince = s.now
	s.sync()
	if len(s.orders) != 1 || s.orders[0].Attempt != "d" {
		t.Errorf("orders = %+v, want one for attempt d", s.orders)
	}
}

// Half of the pool is lost at once under full load. Generations on the other half continue. Each
// new request must be granted, or refused with a Retry-After; none may be left undecided.
func TestHalfThePoolIsLost(t *testing.T) {
	s := newSim(t, 8)
	s.fill(60, 100*time.Millisecond)
	s.list = s.list[4:]
	s.sync()
	for k := range 40 {
		s.requestGrant(fmt.Sprintf("n-%02d", k), 3000, 900)
		s.advance(100 * time.Millisecond)
	}
	s.advance(4 * time.Second)
	for k := range 40 {
		id := fmt.Sprintf("n-%02d", k)
		after, refused := s.refused[id]
		if s.prefilledAt[id].IsZero() && !refused {
			t.Errorf("%s: neither granted nor refused, want one of these", id)
		}
		if refused && after <= 0 {
			t.Errorf("%s: refused without a Retry-After, want one above 0", id)
		}
	}
}

// While the store is unavailable, no notices of leaving upstreams arrive through it. The home must
// probe the upstreams and evacuate those that report that they are leaving. It must also probe
// each once a second while the store replies, as a notice of 1.5 s may begin just when the store
// becomes unavailable.
func TestLeavingIsDetectedWithoutTheStore(t *testing.T) {
	s := newSim(t, 4)
	s.fill(8, 200*time.Millisecond)
	s.advance(time.Second)
	s.home.Probes()
	s.advance(3 * time.Second)
	probed := map[string]int{}
	for _, p := range s.home.Probes() {
		probed[p.ID]++
	}
	for _, u := range s.list {
		if n := probed[u.ID]; s.home.placement.HasGenerations(u.ID) && n != 3 {
			t.Errorf("%s: %d probes in three seconds while the store replies, want 3", u.ID, n)
		}
	}
	s.storeAge = 2 * maxStoreAge
	s.advance(time.Second)
	if probes := len(s.home.Probes()); probes < 8 || probes > 16 {
		t.Errorf("probes of 4 upstreams in a second without the store = %d, want 8 to 16", probes)
	}
	s.home.NoticeLeaving(s.now, "u02", 1500*time.Millisecond, true)
	s.deliverMessages()
	if len(s.orders) != 1 || s.orders[0].From != "u02" {
		t.Fatalf("orders = %+v, want one from u02", s.orders)
	}
	s.requestGrant("new", 3000, 900)
	s.sync() // the listing does not show u02 as leaving
	if s.granted["new"] == "u02" || len(s.orders) != 1 {
		t.Error("after an outdated listing: u02 got a new request or a second move order, want neither, as its own notice prevails")
	}
}

// An upstream has failed but is still listed. Each request that is placed there costs a failed
// connection attempt, so that after the first one, other upstreams must get the work for a while.
func TestAnUnreachableUpstreamGetsNoWork(t *testing.T) {
	s := newSim(t, 2)
	s.home.Unreachable(s.now, "u00")
	for k := range 4 {
		s.requestGrant(fmt.Sprintf("d-%d", k), 3000, 900)
	}
	if n := s.countOn("u00"); n != 0 {
		t.Errorf("requests on the unreachable upstream = %d, want 0", n)
	}
	s.advance(unreachableBackoff + 100*time.Millisecond)
	for k := range 6 {
		s.requestGrant(fmt.Sprintf("e-%d", k), 3000, 900)
	}
	if s.countOn("u00") == 0 {
		t.Error("requests on the upstream after unreachableBackoff = 0, want some")
	}
}

// A leaving upstream stops during a copy. No generation continues from the incomplete copy, and it
// can't be freed, so that it holds memory at its destination until it expires. The home must count
// this memory as used; otherwise new prompts would wait inside that upstream for seconds.
func TestAbandonedCopiesTakeMemory(t *testing.T) {
	s := newSim(t, 2)
	for k := range 5 {
		id := fmt.Sprintf("d-%d", k)
		req := placement.Request{Attempt: id, Org: "org", Prompt: 3000, MaxOutput: 900, Expected: 900}
		s.requests[id] = req
		s.home.Announce(s.now, entry, msg.Announce{Pool: "pool", Running: []msg.RunningAttempt{{Request: req, Upstream: "u01", Tokens: 300}}})
	}
	big := placement.Request{Attempt: "big", Org: "org", Prompt: 9000, MaxOutput: 2000, Expected: 2000}
	s.home.Announce(s.now, entry, msg.Announce{Pool: "pool", Running: []msg.RunningAttempt{{Request: big, Upstream: "u00", Tokens: 600}}})
	s.find("u00").LeavingSince = s.now
	s.sync()
	if len(s.orders) != 1 || s.orders[0].To != "u01" {
		t.Fatalf("orders = %+v, want one to u01", s.orders)
	}
	for k := 0; k < len(s.orders); k++ {
		s.reportOutcome(s.orders[k], msg.MoveFailed)
	}
	s.find("u00").Removed = true
	s.list = s.list[1:]
	s.home.End(s.now, msg.GrantEnd{Pool: "pool", Attempt: "big", Upstream: "u00", Failed: true})
	s.sync()
	s.requestGrant("new", 3000, 900)
	if s.granted["new"] != "" {
		t.Error("request granted while an abandoned copy holds the memory, want it queued")
	}
	for range 12 {
		s.now = s.now.Add(500 * time.Millisecond)
		s.home.Tick(s.now)
		s.sync()
	}
	s.requestGrant("later", 3000, 900)
	if s.granted["later"] == "" {
		t.Error("request not granted after the copy expired, want granted")
	}
}

// The forecast shows room at a destination that has none, as unused copies hold its memory. If the
// move was retried there at once, it would be refused again, and after two refusals the generation
// would be given up with most of the notice left. Other destinations must be tried at once, and
// the same one after a short delay.
func TestADestinationWithoutRoomIsSkipped(t *testing.T) {
	s := newSim(t, 4)
	s.requestGrant("d", 3000, 900)
	from := s.granted["d"]
	s.advance(time.Second)
	s.find(from).LeavingSince = s.now
	s.sync()
	tried := map[string]bool{}
	for k := 0; k < len(s.orders) && k < 10; k++ {
		o := s.orders[k]
		if tried[o.To] {
			t.Fatalf("%s: second order at once after it had no room, want another destination", o.To)
		}
		tried[o.To] = true
		s.reportOutcome(o, msg.MoveNoRoom)
	}
	if len(tried) != 3 {
		t.Fatalf("destinations tried = %d, want 3", len(tried))
	}
	n := len(s.orders)
	s.advance(fullBackoff + 200*time.Millisecond)
	if len(s.orders) == n {
		t.Error("no further order after fullBackoff, want a retry")
	}
}

// An entry with hundreds of running generations must announce them less often, or announcements
// would be most of its traffic. The interval must stay below orphanTimeout, after which homes drop
// its grants.
func TestManyGenerationsAreAnnouncedLessOften(t *testing.T) {
	for running, want := range map[int]time.Duration{0: 500 * time.Millisecond, 10: 500 * time.Millisecond, 175: 1400 * time.Millisecond, 5000: 1500 * time.Millisecond} {
		if got := AnnouncePause(running); got != want {
			t.Errorf("interval for %d generations = %v, want %v", running, got, want)
		}
	}
	const generationBytes = 89 // size of one generation in an announcement
	if rate := 175 * generationBytes / AnnouncePause(175).Seconds(); rate > 12_000 {
		t.Errorf("traffic for 175 generations = %.0f bytes a second, want at most 12000", rate)
	}
}
