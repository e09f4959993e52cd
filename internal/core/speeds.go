package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/slowdown"
)

// upstreamSpeeds is what a home has logged about the speeds that upstreams state.
type upstreamSpeeds struct {
	noted map[string]*slowdown.Noted
	// unreadable holds, by upstream, the boot of the run of which an unreadable statement was logged.
	unreadable map[string]string
}

func newUpstreamSpeeds() upstreamSpeeds {
	return upstreamSpeeds{noted: map[string]*slowdown.Noted{}, unreadable: map[string]string{}}
}

// forget drops what belongs to a run of an upstream that has ended.
func (s upstreamSpeeds) forget(upstream string) {
	delete(s.noted, upstream)
	delete(s.unreadable, upstream)
}

// slowdownOnReport prepares the slowdown in a report for the placement: a report without one states
// that work takes as long as usual, if the upstream has stated another factor before. An unreadable
// statement is ignored.
func (i *Instance) slowdownOnReport(now time.Time, h *poolHome, e *UpstreamReport) {
	name, stated := e.Report.Upstream, &e.Report.Slowdown
	if stated.Unreadable != "" {
		i.logUnreadableLoad(h, e)
		return
	}
	if stated.Factor == 0 {
		if _, _, known := h.home.Slowdown(now, name); !known {
			return
		}
		stated.Factor = slowdown.Usual
	}
	if i.without.Has(mechanism.StatedSpeeds) {
		return
	}
	n := h.speeds.noted[name]
	if n == nil {
		n = &slowdown.Noted{}
		h.speeds.noted[name] = n
	}
	if skipped, due := n.Due(now, stated.Factor); due {
		i.count("upstream_statements_total", "upstream_speed")
		i.emit(Log{Event: "upstream_speed", Pairs: []any{"upstream", name, "boot", e.Report.Boot, "slowdown", stated.Factor, "age", now.Sub(e.PolledAt), "skipped", skipped}})
	}
}

// logUnreadableLoad counts an unreadable slowdown and logs the first one of a run of an upstream.
func (i *Instance) logUnreadableLoad(h *poolHome, e *UpstreamReport) {
	i.count("upstream_statements_total", "load_unreadable")
	name := e.Report.Upstream
	if logged, ok := h.speeds.unreadable[name]; ok && logged == e.Report.Boot {
		return
	}
	h.speeds.unreadable[name] = e.Report.Boot
	i.emit(Log{Event: "upstream_load_unreadable", Pairs: []any{"upstream", name, "boot", e.Report.Boot, "error", e.Report.Slowdown.Unreadable}})
}
