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
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
)

var start = time.Unix(1000, 0)

// engine is a pool of small workers like those of the users: memory for eight
// drafts each, and copies of 3,200 tokens take 0.18 s.
var engine = route.Engine{
	Slots: 24, MemoryToken: 34_000, TokenBytes: 18_432, LinkMbps: 2_700,
	Moves: true, Backups: true, CopyLife: 5 * time.Second, EventTokens: 4,
}

// entry is the entry of all requests unless a test says otherwise; where it
// stands does not matter.
var entry = Entry{Name: "entry"}

// sim drives a home with virtual time.
type sim struct {
	t    *testing.T
	now  time.Time
	home *Home
	list []*roster.Upstream
	// granted maps attempts to upstreams, orders holds the orders that were
	// given and not answered.
	granted map[string]string
	refused map[string]time.Duration
	orders  []msg.MoveOrder
	asks    map[string]placement.Ask
	// began is when an attempt's prompt has been read, told whether the home heard
	// of that, busy until when each upstream reads prompts.
	began map[string]time.Time
	told  map[string]bool
	busy  map[string]time.Time
	// away is for how long the store has not answered.
	away time.Duration
	// cordons and coldRate are what the home is told of them.
	cordons  cordon.Set
	coldRate float64
}

func newSim(t *testing.T, upstreams int) *sim {
	s := &sim{t: t, now: start, home: NewHome("pool", engine, 0, 0), granted: map[string]string{}, refused: map[string]time.Duration{}, asks: map[string]placement.Ask{}, began: map[string]time.Time{}, told: map[string]bool{}, busy: map[string]time.Time{}}
	for k := range upstreams {
		s.join(fmt.Sprintf("u%02d", k))
	}
	s.sync()
	return s
}

func (s *sim) join(id string) {
	s.list = append(s.list, &roster.Upstream{
		Entry: roster.Entry{ID: id, Service: "pool", Address: id + ":80", DataCentre: "dc-" + id[len(id)-1:], Slots: 24}, Seen: s.now,
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

// confirmed is the moment for which the list holds; away sets it back.
func (s *sim) confirmed() time.Time { return s.now.Add(-s.away) }

func (s *sim) sync() {
	s.home.Sync(s.now, Listing{Answered: s.confirmed(), Upstreams: s.list, Cordons: s.cordons, ColdRate: s.coldRate})
	s.drain()
}

// pass lets time pass in steps in which the home compares its ledger.
func (s *sim) pass(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(100 * time.Millisecond)
		s.tellBegun()
		s.announce()
		s.home.Tick(s.now)
		s.sync()
	}
}

const (
	// tokenTime is how long a worker takes for a token.
	tokenTime = 8 * time.Millisecond
	// readRate is how many prompt tokens a second it reads, one prompt after another.
	readRate = 7200
)

// read makes an upstream read an attempt's prompt.
func (s *sim) read(attempt, upstream string) {
	begin := s.now
	if s.busy[upstream].After(begin) {
		begin = s.busy[upstream]
	}
	end := begin.Add(time.Duration(float64(s.asks[attempt].Prompt) / readRate * float64(time.Second)))
	s.busy[upstream], s.began[attempt] = end, end
}

// tellBegun tells the home of the first tokens that have come.
func (s *sim) tellBegun() {
	for _, attempt := range slices.Sorted(maps.Keys(s.granted)) {
		if !s.told[attempt] && !s.now.Before(s.began[attempt]) {
			s.told[attempt] = true
			s.home.Begun(s.now, msg.Begun{Pool: "pool", Attempt: attempt})
		}
	}
	s.drain()
}

// announce tells the home what runs, as the entries do, and ends what is whole.
func (s *sim) announce() {
	var running []msg.RunningAttempt
	for _, attempt := range slices.Sorted(maps.Keys(s.granted)) {
		ask, tokens := s.asks[attempt], max(int(s.now.Sub(s.began[attempt])/tokenTime), 0)
		if tokens >= ask.MaxOutput {
			s.home.End(s.now, msg.GrantEnd{Pool: "pool", Attempt: attempt, Tokens: ask.MaxOutput})
			delete(s.granted, attempt)
			continue
		}
		running = append(running, msg.RunningAttempt{Ask: ask, Upstream: s.granted[attempt], Tokens: tokens})
	}
	s.home.Announce(s.now, entry, msg.Announce{Pool: "pool", Running: running})
}

func (s *sim) drain() {
	for _, o := range s.home.Take() {
		switch m := o.Msg.(type) {
		case msg.GrantAnswer:
			switch m.Decision.Kind {
			case placement.Granted:
				s.granted[m.Decision.Attempt] = m.Decision.Upstream
				s.read(m.Decision.Attempt, m.Decision.Upstream)
			case placement.Refused:
				s.refused[m.Decision.Attempt] = m.Decision.RetryAfter
			}
		case msg.MoveOrder:
			s.orders = append(s.orders, m)
		}
	}
}

// fill asks for drafts one after the other, named d-00 and on: prompts of 3,000
// tokens with 900 to come.
func (s *sim) fill(drafts int, every time.Duration) {
	for k := range drafts {
		s.ask(fmt.Sprintf("d-%02d", k), 3000, 900)
		s.pass(every)
	}
}

func (s *sim) ask(attempt string, prompt, output int) {
	ask := placement.Ask{
		Attempt: attempt, Org: "org", Prompt: prompt, MaxOutput: output, Expected: output, MaxWait: 3 * time.Second,
		FirstTarget: 1500 * time.Millisecond,
	}
	s.asks[attempt] = ask
	s.home.Ask(s.now, entry, msg.GrantAsk{Pool: "pool", Ask: ask})
	s.drain()
}

func (s *sim) on(id string) (n int) {
	for _, u := range s.granted {
		if u == id {
			n++
		}
	}
	return n
}

// fullest returns the upstream that runs most.
func (s *sim) fullest() string {
	best := ""
	for _, u := range s.list {
		if best == "" || s.on(u.ID) > s.on(best) {
			best = u.ID
		}
	}
	return best
}

func (s *sim) answer(o msg.MoveOrder, outcome msg.MoveOutcome) {
	s.home.Moved(s.now, msg.Moved{Pool: "pool", Attempt: o.Attempt, Number: o.Number, Outcome: outcome})
	if outcome == msg.MoveDone {
		s.granted[o.Attempt] = o.To
	}
	s.drain()
}

// Pattern: two of twelve workers are replaced every three seconds, and prompts
// of 3,000 tokens come eleven a second. The newcomer has its whole memory free.
// A first token is due after 1.5 s and a worker computes 7,200 prompt tokens a
// second beside its batch, so that no more than three prompts may wait at one
// worker. With the memory alone as the measure, the newcomer got 13 of 36.
func TestANewcomerIsNotFloodedWithPrompts(t *testing.T) {
	s := newSim(t, 8)
	for k := range 48 {
		s.ask(fmt.Sprintf("old-%d", k), 3000, 900)
		s.pass(100 * time.Millisecond)
	}
	s.join("new")
	s.sync()
	for k := range 11 {
		s.ask(fmt.Sprintf("a-%d", k), 3000, 900)
		s.pass(100 * time.Millisecond)
	}
	if n := s.on("new"); n < 2 || n > 3 {
		t.Errorf("the newcomer got %d of 11 prompts in a second, want 2 or 3", n)
	}
}

// Pattern: an upstream with five drafts announces that it leaves; it lives 1.5 s
// on. Copies share its link, so one at a time is ordered, next to it where the
// copy takes half the time, and the others to upstreams that take no other copy.
func TestEvacuationIsOrderedOneAtATime(t *testing.T) {
	s := newSim(t, 12)
	s.fill(60, 200*time.Millisecond)
	s.pass(time.Second)
	leaving := s.fullest()
	before := s.on(leaving)
	s.find(leaving).LeavingSince = s.now
	s.sync()
	s.sync()
	if before < 3 || len(s.orders) != 1 {
		t.Fatalf("%d drafts, %d orders at once, want one", before, len(s.orders))
	}
	for k := 0; k < len(s.orders) && k < 20; k++ {
		o := s.orders[k]
		if o.From != leaving || o.To == leaving {
			t.Fatalf("order %+v", o)
		}
		s.now = s.now.Add(150 * time.Millisecond)
		s.answer(o, msg.MoveDone)
	}
	if took := s.now.Sub(s.find(leaving).LeavingSince); took > 1200*time.Millisecond {
		t.Errorf("the orders took %v", took)
	}
	s.pass(300 * time.Millisecond) // what was about to end by itself may stay
	if left := s.on(leaving); left != 0 {
		t.Errorf("%d of %d drafts are left behind", left, before)
	}
}

// Two upstreams leave at once. Their links are their own, but a destination's
// link is shared: both must not copy to the same one.
func TestTwoEvacuationsHaveTwoDestinations(t *testing.T) {
	s := newSim(t, 6)
	s.fill(24, 200*time.Millisecond)
	s.find("u01").LeavingSince, s.find("u02").LeavingSince = s.now, s.now
	s.sync()
	if len(s.orders) != 2 || s.orders[0].To == s.orders[1].To {
		t.Fatalf("orders %+v, want two with two destinations", s.orders)
	}
	for _, o := range s.orders {
		if slices.Contains([]string{"u01", "u02"}, o.To) {
			t.Errorf("a destination that leaves itself: %+v", o)
		}
	}
}

// Two of three upstreams leave at once. The third takes one copy at a time: the last
// piece of one run, for which its reader waits, must not queue behind another's copy.
func TestOneDestinationTakesOneCopyAtATime(t *testing.T) {
	s := newSim(t, 3)
	s.fill(9, 200*time.Millisecond)
	s.pass(time.Second)
	s.find("u01").LeavingSince, s.find("u02").LeavingSince = s.now, s.now
	s.sync()
	if len(s.orders) != 1 || s.orders[0].To != "u00" {
		t.Fatalf("orders %+v, want one to u00", s.orders)
	}
	s.answer(s.orders[0], msg.MoveDone)
	if len(s.orders) != 2 {
		t.Errorf("%d orders once the first has arrived, want two", len(s.orders))
	}
}

// An upstream's entry vanishes without an announcement, as those of some workers
// do; it serves on for a while. Its work is moved like that of any other.
func TestAVanishedUpstreamIsEvacuated(t *testing.T) {
	s := newSim(t, 4)
	s.fill(12, 200*time.Millisecond)
	s.list = s.list[1:]
	s.sync()
	if len(s.orders) != 1 || s.orders[0].From != "u00" {
		t.Errorf("orders %+v, want one from u00", s.orders)
	}
}

// An entry dies with an order in hand, or its answer is lost. The home goes on
// with the next generation; it must not wait for the dead until the upstream
// has gone as well.
func TestALostOrderIsGivenUp(t *testing.T) {
	s := newSim(t, 4)
	s.fill(12, 200*time.Millisecond)
	s.find("u01").LeavingSince = s.now
	s.sync()
	s.pass(1200 * time.Millisecond)
	if len(s.orders) < 2 {
		t.Errorf("%d orders, want another after the first was lost", len(s.orders))
	}
}

// A generation whose prompt is still read can't be moved: an order for it would hold
// the turn of its source for nothing. The order is given with the word of its first
// token.
func TestAnUnreadPromptIsNotOrderedToMove(t *testing.T) {
	s := newSim(t, 3)
	s.ask("d", 3000, 900)
	s.find(s.granted["d"]).LeavingSince = s.now
	s.sync()
	s.pass(300 * time.Millisecond)
	if len(s.orders) != 0 {
		t.Fatalf("ordered before the prompt was read: %+v", s.orders)
	}
	s.pass(200 * time.Millisecond)
	if len(s.orders) != 1 {
		t.Errorf("%d orders after the first token, want one", len(s.orders))
	}
}

// A generation was preempted by its engine and is read anew, so that its entry finds
// no run to move. It is tried again a moment later, behind the others, and not given up.
func TestAMoveThatFoundNoRunIsTriedAgain(t *testing.T) {
	s := newSim(t, 3)
	s.ask("d", 3000, 900)
	s.pass(500 * time.Millisecond)
	s.find(s.granted["d"]).LeavingSince = s.now
	s.sync()
	for range 4 {
		last := s.orders[len(s.orders)-1]
		s.answer(last, msg.MoveNoRun)
		n := len(s.orders)
		s.pass(200 * time.Millisecond)
		if len(s.orders) == n {
			t.Fatalf("given up after %d orders", n)
		}
	}
}

// The home's instance dies, and another takes over with an empty ledger. It
// learns from the entries what runs, so that an upstream that leaves then is
// evacuated all the same.
func TestANewHomeLearnsWhatRuns(t *testing.T) {
	s := newSim(t, 3)
	s.home.Announce(s.now, entry, msg.Announce{Pool: "pool", Running: []msg.RunningAttempt{{
		Ask: placement.Ask{Attempt: "d", Org: "org", Prompt: 3000, MaxOutput: 900, Expected: 900}, Upstream: "u01", Tokens: 100,
	}}})
	s.find("u01").LeavingSince = s.now
	s.sync()
	if len(s.orders) != 1 || s.orders[0].Attempt != "d" {
		t.Errorf("orders %+v, want one for d", s.orders)
	}
}

// Pattern: half the pool is lost at once under full load. What runs on stays;
// new work waits its turn or is refused at once with a time to come back: none
// is left without an answer.
func TestHalfThePoolIsLost(t *testing.T) {
	s := newSim(t, 8)
	s.fill(60, 100*time.Millisecond)
	s.list = s.list[4:]
	s.sync()
	for k := range 40 {
		s.ask(fmt.Sprintf("n-%02d", k), 3000, 900)
		s.pass(100 * time.Millisecond)
	}
	s.pass(4 * time.Second)
	for k := range 40 {
		id := fmt.Sprintf("n-%02d", k)
		after, refused := s.refused[id]
		if s.began[id].IsZero() && !refused {
			t.Errorf("%s has no answer", id)
		}
		if refused && after <= 0 {
			t.Errorf("%s was refused without a time to come back", id)
		}
	}
}

// The store is away, so that no announcement of leaving arrives. The home asks
// the upstreams themselves, and moves what runs on those that leave. It asks each once a
// second before the store is known to be away, too: a notice of 1.5 s may begin at the
// moment at which the store falls silent.
func TestLeavingIsNoticedWithoutTheStore(t *testing.T) {
	s := newSim(t, 4)
	s.fill(8, 200*time.Millisecond)
	s.pass(time.Second)
	s.home.Probes()
	s.pass(3 * time.Second)
	asked := map[string]int{}
	for _, p := range s.home.Probes() {
		asked[p.ID]++
	}
	for _, u := range s.list {
		if n := asked[u.ID]; s.home.placement.Runs(u.ID) && n != 3 {
			t.Errorf("%s was asked %d times in three seconds while the store answers", u.ID, n)
		}
	}
	s.away = 2 * storeFresh
	s.pass(time.Second)
	if probes := len(s.home.Probes()); probes < 8 || probes > 16 {
		t.Errorf("%d questions to 4 upstreams in a second", probes)
	}
	s.home.Leaves(s.now, "u02", 1500*time.Millisecond, true)
	s.drain()
	if len(s.orders) != 1 || s.orders[0].From != "u02" {
		t.Fatalf("orders %+v, want one from u02", s.orders)
	}
	s.ask("new", 3000, 900)
	s.sync() // the list still calls it ready
	if s.granted["new"] == "u02" || len(s.orders) != 1 {
		t.Error("the list's old word must not undo the upstream's own")
	}
}

// An upstream has died and is still listed. Each request that is placed there
// costs a dial; after the first, others get the work.
func TestAnUnreachableUpstreamGetsNoWork(t *testing.T) {
	s := newSim(t, 2)
	s.home.Unreachable(s.now, "u00")
	for k := range 4 {
		s.ask(fmt.Sprintf("d-%d", k), 3000, 900)
	}
	if n := s.on("u00"); n != 0 {
		t.Errorf("%d placed on a dead upstream", n)
	}
	s.pass(unreachableBackoff + 100*time.Millisecond)
	for k := range 6 {
		s.ask(fmt.Sprintf("e-%d", k), 3000, 900)
	}
	if s.on("u00") == 0 {
		t.Error("it must be tried again after a while")
	}
}

// A leaving upstream ends with a copy half made. Nothing goes on from that, and nobody can
// free it: it takes memory at its destination until it lapses. The home reckons with it;
// otherwise new prompts would wait inside that upstream for seconds, unread.
func TestAbandonedCopiesTakeMemory(t *testing.T) {
	s := newSim(t, 2)
	for k := range 5 {
		id := fmt.Sprintf("d-%d", k)
		ask := placement.Ask{Attempt: id, Org: "org", Prompt: 3000, MaxOutput: 900, Expected: 900}
		s.asks[id] = ask
		s.home.Announce(s.now, entry, msg.Announce{Pool: "pool", Running: []msg.RunningAttempt{{Ask: ask, Upstream: "u01", Tokens: 300}}})
	}
	big := placement.Ask{Attempt: "big", Org: "org", Prompt: 9000, MaxOutput: 2000, Expected: 2000}
	s.home.Announce(s.now, entry, msg.Announce{Pool: "pool", Running: []msg.RunningAttempt{{Ask: big, Upstream: "u00", Tokens: 600}}})
	s.find("u00").LeavingSince = s.now
	s.sync()
	if len(s.orders) != 1 || s.orders[0].To != "u01" {
		t.Fatalf("orders %+v, want one to u01", s.orders)
	}
	for k := 0; k < len(s.orders); k++ {
		s.answer(s.orders[k], msg.MoveFailed)
	}
	s.find("u00").Gone = true
	s.list = s.list[1:]
	s.home.End(s.now, msg.GrantEnd{Pool: "pool", Attempt: "big", Upstream: "u00", Failed: true})
	s.sync()
	s.ask("new", 3000, 900)
	if s.granted["new"] != "" {
		t.Error("a prompt is placed where a copy takes the memory")
	}
	for range 12 {
		s.now = s.now.Add(500 * time.Millisecond)
		s.home.Tick(s.now)
		s.sync()
	}
	s.ask("later", 3000, 900)
	if s.granted["later"] == "" {
		t.Error("nothing is placed there after the copy has lapsed")
	}
}

// The forecast sees room at a destination that has none: copies that nobody picked up
// hold its memory. Asked again at once it refuses again, and after two refusals the
// draft would be left behind with most of the notice to go. Other destinations are
// asked at once, and the same one a moment later.
func TestADestinationWithoutRoomIsPassedOver(t *testing.T) {
	s := newSim(t, 4)
	s.ask("d", 3000, 900)
	from := s.granted["d"]
	s.pass(time.Second)
	s.find(from).LeavingSince = s.now
	s.sync()
	asked := map[string]bool{}
	for k := 0; k < len(s.orders) && k < 10; k++ {
		o := s.orders[k]
		if asked[o.To] {
			t.Fatalf("%s is asked again at once", o.To)
		}
		asked[o.To] = true
		s.answer(o, msg.MoveNoRoom)
	}
	if len(asked) != 3 {
		t.Fatalf("%d of 3 destinations were asked", len(asked))
	}
	n := len(s.orders)
	s.pass(fullBackoff + 200*time.Millisecond)
	if len(s.orders) == n {
		t.Error("nothing is asked again later: the draft is left behind")
	}
}

// An entry that runs hundreds of generations tells its homes less often, or its list
// would be most of what it sends; never so rarely that it is taken for dead.
func TestManyGenerationsAreAnnouncedLessOften(t *testing.T) {
	for running, want := range map[int]time.Duration{0: 500 * time.Millisecond, 10: 500 * time.Millisecond, 175: 1400 * time.Millisecond, 5000: 1500 * time.Millisecond} {
		if got := AnnouncePause(running); got != want {
			t.Errorf("%d generations: a pause of %v, want %v", running, got, want)
		}
	}
	const bytes = 89 // of a generation in an announcement
	if rate := 175 * bytes / AnnouncePause(175).Seconds(); rate > 12_000 {
		t.Errorf("%.0f bytes a second at 175 generations", rate)
	}
}
