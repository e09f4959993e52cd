package trial

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// CallerGroup is a part of the callers of a run.
type CallerGroup []CallerRecord

// Where returns the callers for which keep returns true.
func (g CallerGroup) Where(keep func(c CallerRecord) bool) CallerGroup {
	var out CallerGroup
	for _, c := range g {
		if keep(c) {
			out = append(out, c)
		}
	}
	return out
}

// Count returns the number of callers for which has returns true.
func (g CallerGroup) Count(has func(c CallerRecord) bool) int { return len(g.Where(has)) }

// Kind returns the callers that sent requests of one kind, by the name of Org.
func (g CallerGroup) Kind(name string) CallerGroup {
	return g.Where(func(c CallerRecord) bool { return c.Org == name })
}

// SmallOrgs returns the callers of the organisations from the 11th on, which send the fewest requests.
func (g CallerGroup) SmallOrgs() CallerGroup {
	return g.Where(func(c CallerRecord) bool { return len(c.Account) > len("account-9") })
}

// Sizes returns the callers of one kind whose sizes are between two quantiles of it.
func (g CallerGroup) Sizes(from, to float64) CallerGroup {
	sorted := slices.Clone(g)
	slices.SortFunc(sorted, func(a, b CallerRecord) int { return cmp.Compare(a.Value, b.Value) })
	return sorted[int(from*float64(len(sorted))):int(to*float64(len(sorted)))]
}

// Quantile returns a quantile of the times that are not 0.
func (g CallerGroup) Quantile(q float64, of func(c CallerRecord) time.Duration) time.Duration {
	var list []time.Duration
	for _, c := range g {
		if d := of(c); d > 0 {
			list = append(list, d)
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[int(q*float64(len(list)-1))]
}

// Line formats a group as one line of key=value pairs, with times in milliseconds.
func (g CallerGroup) Line(name string) string {
	first := func(c CallerRecord) time.Duration { return c.First }
	attempt := func(c CallerRecord) time.Duration { return c.FirstOfAttempt }
	held := func(c CallerRecord) time.Duration { return c.Held }
	ms := func(d time.Duration) int64 { return d.Milliseconds() }
	return fmt.Sprintf("%-14s sent=%d in_time=%d (first send %d) late=%d refused=%d not_at_once=%d twice=%d left=%d lost=%d held_max=%d attempt_p50/p99=%d/%d first_p50/p99=%d/%d", name,
		len(g), g.Count(CallerRecord.InTime), g.Count(func(c CallerRecord) bool { return c.Done() && c.First <= c.Target }),
		g.Count(func(c CallerRecord) bool { return c.Done() && !c.InTime() }),
		g.Count(func(c CallerRecord) bool { return c.Refusals > 0 }), g.Count(func(c CallerRecord) bool { return c.RefusedLate > 0 }),
		g.Count(func(c CallerRecord) bool { return c.Refusals > 1 }), g.Count(func(c CallerRecord) bool { return c.Fate == CallerLeft }),
		g.Count(func(c CallerRecord) bool { return c.Fate == LostLeaving || c.Fate == Unended }), ms(g.Quantile(1, held)),
		ms(g.Quantile(0.5, attempt)), ms(g.Quantile(0.99, attempt)), ms(g.Quantile(0.5, first)), ms(g.Quantile(0.99, first)))
}

// Served returns the fraction of a group that got a complete response.
func (g CallerGroup) Served() float64 {
	return float64(g.Count(CallerRecord.Done)) / float64(max(len(g), 1))
}

// Report returns a line for each kind of requests, and for its largest tenth, the next fifth, the small
// organisations and the callers that had a turn.
func (g CallerGroup) Report(kinds ...string) (lines []string) {
	for _, kind := range kinds {
		k := g.Kind(kind)
		lines = append(lines, k.Line(kind), k.Sizes(0.9, 1).Line(" largest tenth"), k.Sizes(0.7, 0.9).Line(" next fifth"),
			k.SmallOrgs().Line(" small orgs"), k.Where(func(c CallerRecord) bool { return c.HadTurn }).Line(" had a turn"))
	}
	return lines
}
