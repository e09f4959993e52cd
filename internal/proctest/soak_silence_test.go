package proctest

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
)

// soakEngine makes an engine copy generations one after another and report as late as real ones do.
func soakEngine(k *hosting.Worker) {
	k.EventEvery, k.EventCount, k.CopyTime, k.QueueCopies, k.ReportLag, k.MarkRuns = 25*time.Millisecond, streamEvents, 30*time.Millisecond, true, reportLag, true
}

// silenceUpstreams makes up to three upstreams silent at times, each again only some time after its last silence.
// Half of the upstreams are never silent, so that the rules on what reaches upstreams apply to them all the time.
func (s *soak) silenceUpstreams() {
	if s.silenceRand.IntN(2) > 0 {
		return
	}
	kinds := slices.Sorted(maps.Keys(silences))
	for range 1 + s.silenceRand.IntN(3) {
		list := append(append([]*hosting.Worker(nil), s.pool[:len(s.pool)/2]...), s.desk[:len(s.desk)/2]...)
		w, kind, now := list[s.silenceRand.IntN(len(list))], kinds[s.silenceRand.IntN(len(kinds))], time.Now()
		d := time.Duration(300+s.silenceRand.IntN(1200)) * time.Millisecond
		late := time.Duration(s.silenceRand.IntN(1600)) * time.Millisecond
		silent := disturbance{instance: w.ID, from: now, to: now.Add(d + late)}
		if slices.ContainsFunc(s.silences, func(b disturbance) bool {
			return b.instance == w.ID && now.Before(b.to.Add(300*time.Millisecond))
		}) {
			continue
		}
		s.silences = append(s.silences, silent)
		silences[kind](w, d, late)
	}
}

// checkNotEnded checks that the answer to a request was not ended while the upstreams that it reached were sound. A
// silence makes no upstream unsound. A repeatable request that ends with 502 may have had another attempt, which
// did not arrive.
func (s *soak) checkNotEnded(a sentRequest, list []hosting.Arrival, once bool) {
	limit := 1500 * time.Millisecond // the timeout of the routes of the plain service
	if strings.HasPrefix(a.path, hosting.PathDraft) || strings.HasPrefix(a.path, hosting.PathBrief) {
		limit = a.timeout
	}
	took := a.at.Sub(a.sent)
	ran := func(b hosting.Arrival) bool { return b.Ran } // otherwise the attempt that failed did not arrive
	switch {
	case *otherBuild != "" || !slices.ContainsFunc(list, ran) || a.leaveAfter > 0 && took >= a.leaveAfter || took > limit*9/10:
		return
	case a.result.err == nil && (a.result.status != http.StatusBadGateway || !once):
		return
	case excuses(slices.DeleteFunc(slices.Clone(s.disturbances), func(d disturbance) bool { return d.planned }), a.instance, a.sent, a.at):
		return
	}
	if s.endNotAsked(a, list) {
		return
	}
	var silent []disturbance
	for _, b := range list {
		left, leaves := s.left[b.Worker]
		if b.Fault != hosting.None || strings.HasPrefix(b.Worker, behindRelay) || leaves && left.Before(a.at) {
			return
		}
		for _, d := range s.silences {
			if d.instance == b.Worker && d.from.Before(a.at) && d.to.After(a.sent) {
				silent = append(silent, d)
			}
		}
	}
	s.t.Errorf("%s at %s ended after %v with status %d, error %v, though its upstreams were sound; it reached %s at %v; silences %v",
		a.id, a.instance, took.Round(time.Millisecond), a.result.status, a.result.err, list[0].Worker, list[0].At.Sub(a.sent), silent)
}

// arrivingLate returns the disturbances of instances and, for each instance, the silences of an upstream: requests
// that an instance sends in a silence arrive after it, together.
func (s *soak) arrivingLate(w *hosting.Worker) []disturbance {
	list := append([]disturbance(nil), s.disturbances...)
	for _, d := range s.silences {
		if d.instance != w.ID {
			continue
		}
		for _, m := range s.machines {
			list = append(list, disturbance{instance: m.Name, from: d.from, to: d.to})
		}
	}
	return list
}
