package watch

import (
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// failAll marks sources as failed, a millisecond apart, and checks that they are preferred in the given
// order.
func failAll(t *testing.T, c Choice, want []string) (p *preferences, last time.Time) {
	t.Helper()
	p, now := &preferences{skipUntil: map[string]time.Time{}}, start
	for _, source := range want {
		if got := p.preferred(now, c); got != source {
			t.Fatalf("all preferred sources failed: queries %q, want %q", got, source)
		}
		p.skip(now, source, DefaultBound)
		now = now.Add(time.Millisecond)
	}
	return p, now
}

func TestReadersQueryTheStoreAndOthersTheReaders(t *testing.T) {
	p := &preferences{}
	if got := p.preferred(start, Choice{Reads: true, Designated: []string{"b"}, Others: []string{"b", "c", "d"}}); got != Store {
		t.Errorf("reader queries %q, want the store", got)
	}
	if got := p.preferred(start, Choice{Designated: []string{"a", "b"}, Others: []string{"a", "b", "c"}}); got != "a" {
		t.Errorf("instance that is not a reader queries %q, want the first reader", got)
	}
	if got := p.preferred(start, Choice{}); got != Store {
		t.Errorf("only instance queries %q, want the store", got)
	}
}

// Both readers stop responding at once, then another instance and the store as well. The instance must
// query the next source each time, and return to the first one after its backoff, so that its callers
// are not affected as long as one source responds.
func TestFailedSourcesAreSkipped(t *testing.T) {
	c := Choice{Designated: []string{"a", "b"}, Others: []string{"a", "b", "c"}}
	p, now := failAll(t, c, []string{"a", "b", "c", Store})
	if got := p.preferred(now, c); got != "a" {
		t.Errorf("queries %q after all sources failed, want the one that failed first", got)
	}
	if got := p.preferred(now.Add(DefaultBound), c); got != "a" {
		t.Errorf("queries %q after the backoff, want the first source", got)
	}
}

// The relays of a data centre fail together. Its hundred instances must query the readers and
// then some other instances. The store must be the last source, because each instance would
// have to read the full list of upstreams there.
func TestLargeFleetsQueryTheStoreLast(t *testing.T) {
	c := Choice{Large: true, Designated: []string{"a"}, Others: []string{"a", "b", "c", "d", "e", "f", "g", "h"}}
	failAll(t, c, []string{"a", "b", "c", "d", "e", "f", Store})
}

// The reader of a large fleet stops responding. The standby and the relays, which query it like all
// others, must query the store next, not instances that themselves wait for them.
func TestTheStandbyAndTheRelaysQueryTheStoreNext(t *testing.T) {
	for _, c := range []Choice{{Standby: true, IsSource: true}, {IsSource: true}} {
		c.Large, c.Designated, c.Others = true, []string{"a"}, []string{"a", "b"}
		failAll(t, c, []string{"a", Store, "b"})
	}
}

// follow returns a follower that has sent its first query to a source of the given choice.
func follow(t *testing.T, c Choice) (*Follower, Query) {
	t.Helper()
	f := NewFollower(NewTiming(0), 7)
	due, _ := f.Due(start, State{Choice: c})
	if len(due) != 1 {
		t.Fatalf("first queries %+v, want one", due)
	}
	return f, due[0]
}

// A reader is cut off from the store but not from the other instances. It responds with a
// confirmation that gets old, and keys may have been revoked since. Another source must be
// queried before keys are refused.
func TestAReaderWithAnOldConfirmationIsSkipped(t *testing.T) {
	c := Choice{Designated: []string{"a", "b"}, Others: []string{"a", "b"}}
	f, q := follow(t, c)
	if f.OnResponse(start, q.Number, start.Add(-f.timing.MaxAge-time.Millisecond)) {
		t.Error("a confirmation beyond MaxAge counts as recent")
	}
	if got := f.Preferred(start, c); got != "b" {
		t.Errorf("confirmation of the first reader too old: queries %q, want the other reader", got)
	}
	now := start.Add(time.Second)
	due, _ := f.Due(now, State{Choice: c, Confirmed: start})
	if !f.OnResponse(now, due[0].Number, now) || f.Preferred(now, c) != "b" {
		t.Errorf("queries %q after a recent confirmation of the other reader, want the other reader", f.Preferred(now, c))
	}
}

// A state that is as old as the bound may lack a change that must be in force. It must not count as recent,
// nor may the age be so small that a source that reads the store in time is abandoned.
func TestAStateAsOldAsTheBoundIsNotRecent(t *testing.T) {
	c := Choice{Designated: []string{"a", "b"}, Others: []string{"a", "b"}}
	f, q := follow(t, c)
	if f.OnResponse(start, q.Number, start.Add(-f.timing.Bound)) {
		t.Error("a confirmation that is as old as the bound counts as recent")
	}
	f, q = follow(t, c)
	if usual := f.timing.ReadInterval + f.timing.StoreTimeout; !f.OnResponse(start, q.Number, start.Add(-usual)) {
		t.Errorf("a confirmation that is %v old does not count as recent, which is the usual age after a slow read", usual)
	}
}

// A response comes after the instance has stopped waiting for it, or another query has replaced its own.
// If it was dropped, an instance whose sources all respond slowly would adopt nothing. It must be used,
// as of when its own query was sent.
func TestALateResponseIsUsed(t *testing.T) {
	f, q := follow(t, Choice{Designated: []string{"a", "b"}})
	now := start.Add(f.timing.ResponseTimeout)
	if _, unresponsive := f.Due(now, State{Choice: Choice{Designated: []string{"a", "b"}}}); len(unresponsive) != 1 {
		t.Fatalf("unresponsive sources %+v, want a", unresponsive)
	}
	if sentAt, late, ok := f.Sent("a", q.Number); !ok || !late || !sentAt.Equal(start) {
		t.Errorf("late response: sent at %v, late %v, known %v; want the time of its query", sentAt, late, ok)
	}
	if _, _, ok := f.Sent("b", q.Number); ok {
		t.Error("the response of another instance is used, want it dropped")
	}
}

// A response to the process that ran on the machine before reaches its successor. It must not be taken for
// a response to a query of the new process, which was sent later: an old state would count as new.
func TestAResponseToAnEarlierProcessRunIsDropped(t *testing.T) {
	c := Choice{Designated: []string{"a"}}
	earlier, later := NewFollower(NewTiming(0), 7), NewFollower(NewTiming(0), 1<<20)
	due, _ := earlier.Due(start, State{Choice: c})
	later.Due(start.Add(time.Second), State{Choice: c})
	if _, _, ok := later.Sent("a", due[0].Number); ok {
		t.Error("the response to an earlier process run is used, want it dropped")
	}
}

// An instance that could not read the store becomes the reader again without having tried, so that all
// others wait for it once more. It must read the store successfully before it says that it can.
func TestTheStoreIsProbedBeforeAnInstanceReadsItAgain(t *testing.T) {
	c := Choice{Reads: true, Candidate: true, Designated: []string{"b"}}
	f, q := follow(t, c)
	f.OnFailure(start, q.Number)
	for at := time.Duration(0); at < f.timing.Backoff; at += f.timing.Step {
		now := start.Add(at)
		due, _ := f.Due(now, State{Choice: c, Confirmed: now})
		for _, q := range due {
			if q.Source == Store {
				t.Fatalf("queries the store %v after a failure, want a backoff", at)
			}
			f.OnResponse(now, q.Number, now) // b has recent data
		}
		if f.ReachesStore() {
			t.Fatalf("counts as able to read the store %v after a failure, without having tried", at)
		}
	}
	now := start.Add(f.timing.Backoff)
	due, _ := f.Due(now, State{Choice: Choice{Candidate: true, Designated: []string{"b"}}, Confirmed: now})
	for _, q := range due {
		if q.Source == Store {
			f.OnResponse(now, q.Number, now)
		}
	}
	if !f.ReachesStore() {
		t.Errorf("queries after the backoff: %+v, want a probe of the store", due)
	}
}

// The times that may pass one after the other until an instance has a change in force must not exceed
// the bound, whatever the bound is: the last confirmation becomes overdue, the sources before the
// store are queried in steps, and the store responds at the end of its time limit.
func TestTheLongestPathKeepsTheBound(t *testing.T) {
	others := []string{"1", "2", "3", "4", "5", "6"}
	small := Choice{Designated: []string{"reader", "standby"}, Successors: []string{"third", "fourth"}, Others: others}
	large := Choice{Large: true, Designated: []string{"relay", "other relay", "reader", "standby"}, Successors: small.Successors, Others: others}
	for _, bound := range []time.Duration{0, 500 * time.Millisecond, DefaultBound, 4 * time.Second} {
		tm := NewTiming(bound)
		for _, path := range []struct {
			of      Choice
			overdue time.Duration
			// response is the time of the store's response. Hundreds of instances query the store last,
			// when it normally responds in a hundredth of its time limit.
			response time.Duration
		}{
			{small, tm.Overdue, tm.StoreTimeout},
			{Choice{Large: true, IsSource: true, Designated: small.Designated}, tm.SourceOverdue, tm.StoreTimeout},
			{large, tm.Overdue, tm.StoreTimeout / 5},
		} {
			before := time.Duration(slices.Index(overdueOrder(path.of), Store))
			if sum := path.overdue + before*tm.Step + path.response; sum > tm.Bound {
				t.Errorf("bound %v, sources %+v: a change may take %v, want at most the bound", tm.Bound, path.of, sum)
			}
		}
		if list := tm.ListWait + 2*tm.StoreTimeout; list > tm.Bound {
			t.Errorf("bound %v: a change of the list may take %v while the store holds a query, want at most the bound", tm.Bound, list)
		}
		// Without faults no further source is queried, and no source is skipped.
		if normal := tm.ReadInterval + tm.Step; normal >= tm.SourceOverdue || tm.Hold+2*tm.Step > tm.ResponseTimeout || tm.SourceOverdue >= tm.Overdue {
			t.Errorf("bound %v: intervals %+v overlap", tm.Bound, tm)
		}
	}
}

// The times that may pass one after the other from the store's acknowledgement that an upstream leaves to the last request
// sent there must not exceed the bound, on each way by which an instance learns of it. The instance checks the list again
// directly before it sends (forward.Gate.MayStillSend), so that connecting, waiting for a permit or for a grant add nothing.
func TestTheLongestPathOfALeavingKeepsTheBound(t *testing.T) {
	small := Choice{Designated: []string{"reader", "standby"}, Successors: []string{"third", "fourth"}, Others: []string{"1", "2", "3"}}
	large := Choice{Large: true, Designated: []string{"relay", "other relay", "reader", "standby"}, Successors: small.Successors, Others: small.Others}
	source := Choice{Large: true, IsSource: true, Designated: small.Designated}
	for _, bound := range []time.Duration{500 * time.Millisecond, DefaultBound, 4 * time.Second} {
		tm := NewTiming(bound)
		// A query of the store for the list is sent together with that for the configuration.
		fromStore := func(c Choice, overdue, response time.Duration) time.Duration {
			return overdue + time.Duration(slices.Index(overdueOrder(c), Store))*tm.Step + response
		}
		relayed := 2 * tm.Step // reader, relay, instance
		for way, sum := range map[string]time.Duration{
			"the store's held query delivers the change": tm.Step + relayed,
			// The next read of the configuration shows that the list is behind; one step later it is queried.
			"the held query is silent or fails":             tm.ReadInterval + tm.StoreTimeout + tm.Step + tm.StoreTimeout + relayed,
			"the sources of an instance fail":               fromStore(small, tm.Overdue, tm.StoreTimeout),
			"the sources of a relay fail":                   fromStore(source, tm.SourceOverdue, tm.StoreTimeout) + tm.Step,
			"the sources of an instance fail, large fleet":  fromStore(large, tm.Overdue, tm.StoreTimeout/5),
			"the upstream states it to this instance":       0,
			"the upstream states it to another instance":    tm.Step,
			"the source has the configuration and no list":  fromStore(small, tm.Overdue, tm.StoreTimeout),
			"a store that came back from a copy is noticed": tm.ReadInterval + tm.StoreTimeout + tm.Step + tm.StoreTimeout + relayed,
		} {
			if sum += tm.SendWithin; sum > tm.Bound {
				t.Errorf("bound %v: %s: the last request may be sent %v after the acknowledgement", bound, way, sum)
			}
		}
	}
}
