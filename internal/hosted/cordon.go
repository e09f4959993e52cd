package hosted

import (
	"errors"
	"expvar"
	"fmt"
	"slices"
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/forward"
)

// cordonGauge is the value of the cordons in the metrics.
type cordonGauge struct {
	DataCentres []string `json:"data_centres"`
	Version     int64    `json:"version"`
	// AgeMs is the time since the cordons were last confirmed, in milliseconds.
	AgeMs int64 `json:"age_milliseconds"`
}

// cordonMetric returns the metric of the cordoned data centres.
func (s *server) cordonMetric() expvar.Func {
	return func() any {
		var out cordonGauge
		s.decide(func(now time.Time, g *forward.Gate) {
			c := g.Cordons()
			out = cordonGauge{DataCentres: c.DataCentres, Version: c.Version, AgeMs: now.Sub(g.Confirmed()).Milliseconds()}
		})
		return out
	}
}

// changedCordons returns the cordons in a response of the store, or nil if they are unchanged.
// Their version is that of the first response that contained them. Shortly after the store has come back from an
// older copy, known cordons stay as they are.
func (f *follower) changedCordons(read ConfigResponse) (changed *cordon.Set) {
	f.logUnreadable(read)
	settles := f.eraSettles()
	f.server.decide(func(_ time.Time, g *forward.Gate) {
		next := cordon.NewSet(read.Version, read.Cordoned)
		if known := g.Cordons(); !known.Known() || !settles && !known.Same(next) {
			changed = &next
		}
	})
	return changed
}

// logUnreadable logs the errors of cordons that cannot be decoded in full, once for the same
// errors. Such cordons are in force nevertheless, because their data centres are known.
func (f *follower) logUnreadable(read ConfigResponse) {
	problems := errors.Join(read.Unreadable...)
	text := fmt.Sprint(problems)
	if problems != nil && text != f.lastCordonErrors {
		f.log.Warn("cordon_unreadable", "version", read.Version, "error", problems)
	}
	f.lastCordonErrors = text
}

// logCordons logs which data centres are cordoned and which cordons were lifted.
func (f *follower) logCordons(before, now cordon.Set, asOf time.Time, source string) {
	if !before.Known() && now.Empty() {
		return
	}
	f.log.Info("cordons_changed", "cordoned", strings.Join(now.DataCentres, ","), "lifted", strings.Join(before.Lifted(now), ","),
		"version", now.Version, "source", source, "age", boottime.Now().Sub(asOf).Round(time.Millisecond))
	for _, dc := range now.DataCentres {
		if _, known := f.regions[dc]; !known && !slices.Contains(before.DataCentres, dc) {
			f.log.Warn("cordon_of_unknown_data_centre", "data_centre", dc, "version", now.Version)
		}
	}
}
