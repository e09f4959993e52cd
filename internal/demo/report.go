package demo

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"mulberrylug.example/mulberrylug/client"
	"mulberrylug.example/mulberrylug/internal/standin/engine"
)

// Report is the result of a demo run. Done, NotRun, Partial, Unknown and Reasons are the
// outcomes and reasons that the callers got. The other counts come from a comparison of the
// callers' results with the stand-ins' records.
type Report struct {
	Requests         int            `json:"requests"`
	Done             int            `json:"done"`
	NotRun           int            `json:"not_run"`
	Partial          int            `json:"partial"`
	Unknown          int            `json:"unknown"`
	TokensExpected   int            `json:"tokens_expected"`
	TokensLost       int            `json:"tokens_lost"`
	TokensDuplicated int            `json:"tokens_duplicated"`
	TokensOutOfOrder int            `json:"tokens_out_of_order"`
	BookingsAsked    int            `json:"bookings_asked"`
	BookingsRun      int            `json:"bookings_run"`
	BookingsRunTwice int            `json:"bookings_run_twice"`
	NotRunButRan     int            `json:"not_run_but_ran"`
	AnswersCrossed   int            `json:"answers_crossed"`
	Overspend        int64          `json:"overspend"`
	Reasons          map[string]int `json:"reasons"`
	// Faults lists the descriptions of the injected faults, in order.
	Faults []string `json:"faults,omitempty"`
}

// Line returns the report as one JSON line.
func (r Report) Line() string {
	raw, err := json.Marshal(r)
	if err != nil { // a struct of numbers and strings always encodes
		panic(err)
	}
	return string(raw)
}

// Clean reports whether the run kept all guarantees: no token was lost, duplicated or out
// of order, no booking was executed twice, no request with the outcome not_run was executed,
// no caller got the response to another request, and no organisation overspent.
func (r Report) Clean() bool {
	return r.TokensLost+r.TokensDuplicated+r.TokensOutOfOrder+r.BookingsRunTwice+r.NotRunButRan+r.AnswersCrossed == 0 && r.Overspend == 0
}

// verify compares the callers' results with the stand-ins' records.
func verify(f *Fleet, results []result) Report {
	r := Report{Requests: len(results), Reasons: map[string]int{}}
	recs := collectRecords(f)
	for _, a := range results {
		r.countOutcome(a)
		if a.booking {
			r.verifyBooking(a, recs)
		} else {
			r.verifyTokens(a, recs)
		}
	}
	return r
}

func (r *Report) countOutcome(a result) {
	switch a.outcome {
	case client.Done:
		r.Done++
	case client.NotRun:
		r.NotRun++
	case client.Partial:
		r.Partial++
	default:
		r.Unknown++
	}
	if a.reason != "" {
		r.Reasons[string(a.outcome)+":"+a.reason]++
	}
}

// records holds the work that the stand-ins executed.
type records struct {
	generations []engine.Record
	// byHash maps the hash at the start of each token's text to the token's generation.
	byHash map[string]engine.Record
	// prompts holds the number of generations by prompt text.
	prompts map[string]int
	// bookings holds the number of executed calls by booking key.
	bookings map[string]int
	// keyByResponse maps the response body of each executed call to its booking key.
	keyByResponse map[string]string
	// calls is the number of executed calls.
	calls int
}

func collectRecords(f *Fleet) records {
	recs := records{byHash: map[string]engine.Record{}, bookings: map[string]int{}, prompts: map[string]int{}, keyByResponse: map[string]string{}}
	for _, e := range f.Engines {
		for _, rec := range e.Records() {
			recs.generations = append(recs.generations, rec)
			hash, _, _ := strings.Cut(engine.TokenText(rec.Attempt, 0), "-")
			recs.byHash[hash] = rec
			recs.prompts[rec.PromptText]++
		}
	}
	for _, s := range f.Services {
		for n, c := range s.Calls() {
			recs.bookings[c.Key]++
			recs.keyByResponse[fmt.Sprintf(`{"worker":%q,"booking":%d}`, s.Name, n+1)] = c.Key
			recs.calls++
		}
	}
	return recs
}

// verifyBooking checks that the booking was executed at most once, not at all if the
// outcome is not_run, and that the caller got its own response.
func (r *Report) verifyBooking(a result, recs records) {
	executions := recs.bookings[a.key]
	r.BookingsAsked++
	if executions > 0 {
		r.BookingsRun++
	}
	if executions > 1 {
		r.BookingsRunTwice++
	}
	if executions > 0 && a.outcome == client.NotRun {
		r.NotRunButRan++
	}
	if a.outcome == client.Done && recs.keyByResponse[string(a.body)] != a.key {
		r.AnswersCrossed++
	}
}

// verifyTokens checks that the tokens are those of one generation of the caller's prompt,
// in order from index 0 and without gaps, and complete if the outcome is done.
func (r *Report) verifyTokens(a result, recs records) {
	tokens := strings.Fields(a.text)
	if a.outcome == client.NotRun && recs.prompts[a.prompt] > 0 {
		r.NotRunButRan++
	}
	if len(tokens) == 0 {
		if a.outcome == client.Done {
			r.TokensLost++
		}
		return
	}
	first, _, _ := strings.Cut(tokens[0], "-")
	next := 0
	for _, t := range tokens {
		hash, n, _ := strings.Cut(t, "-")
		index, err := strconv.Atoi(n)
		switch {
		case err != nil || hash != first:
			r.TokensOutOfOrder++
		case index < next:
			r.TokensDuplicated++
		case index > next:
			r.TokensLost += index - next
			next = index + 1
		default:
			next++
		}
	}
	rec := recs.byHash[first]
	if rec.PromptText != a.prompt {
		r.AnswersCrossed++
	}
	if a.outcome == client.Done {
		r.TokensExpected += rec.Tokens
		r.TokensLost += max(rec.Tokens-next, 0)
	} else {
		r.TokensExpected += next
	}
}
