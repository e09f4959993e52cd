package pool

import (
	"strconv"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
)

// Metrics of deferrals, counted by rank.
const (
	deferralsMetric    = "deferrals_total"
	returnsMetric      = "deferral_returns_total"
	refusedAgainMetric = "deferral_refused_again_total"
)

// PlaceRanked processes an entry's request to place a generation that states its urgency.
func (h *Home) PlaceRanked(now time.Time, from Entry, m msg.RankedGrantRequest) {
	m.Grant.Request.Rank, m.Grant.Request.TimeLeft = m.Rank, m.TimeLeft
	h.ranks.record(&m.Grant.Request)
	h.place(now, from, m.Grant)
}

// noteRefusal logs a refusal with what it was decided by, and counts it by rank.
func (h *Home) noteRefusal(d placement.Decision) {
	f := d.Refusal
	h.note("refused", "request", d.Attempt, "entry", h.entries[d.Attempt], "reason", d.Reason, "rank", d.Rank, "ahead", f.Ahead,
		"first", f.First, "target", f.Target, "retry_after", d.RetryAfter, "turns", f.Turns, "returned", f.Returned)
	if d.Reason == placement.ReasonDeferred {
		h.count(deferralsMetric, d.Rank)
	}
	if f.Returned {
		h.count(refusedAgainMetric, d.Rank)
	}
}

// noteTurn logs that a caller has returned for its turn.
func (h *Home) noteTurn(d placement.Decision) {
	h.note("turn_taken", "request", d.Attempt, "entry", h.entries[d.Attempt], "decision", d.Kind, "rank", d.Rank)
	h.count(returnsMetric, d.Rank)
}

// Count is an event to be counted.
type Count struct {
	Metric string
	Label  string
}

func (h *Home) count(metric string, rank int) {
	h.counts = append(h.counts, Count{Metric: metric, Label: strconv.Itoa(rank)})
}

// Counts returns and clears the events to be counted.
func (h *Home) Counts() []Count {
	counts := h.counts
	h.counts = nil
	return counts
}

// maxKnownRanks bounds the number of targets for which a rank is known.
const maxKnownRanks = 64

// knownRanks holds the rank last stated with each target. Entries of an earlier release state no rank. If
// their requests counted as the most urgent, they would take precedence over the same work that came
// through other entries.
type knownRanks map[time.Duration]int

// record records the rank of a request that states one.
func (k knownRanks) record(req *placement.Request) {
	if _, known := k[req.FirstTarget]; known || len(k) < maxKnownRanks {
		k[req.FirstTarget] = req.Rank
	}
}

// of returns the rank of a request that states none.
func (k knownRanks) of(req *placement.Request) int { return k[req.FirstTarget] }
