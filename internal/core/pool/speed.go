package pool

import (
	"strconv"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/slowdown"
)

// percentUsual is the percentage of an upstream on which work takes as long as usual.
const percentUsual = 100

// OnUpstreamSpeed processes what an upstream stated in a response to an entry about its current speed.
// A statement about an upstream that is not listed here or about another run of it is ignored: the
// entry may have another list.
func (h *Home) OnUpstreamSpeed(now time.Time, m msg.UpstreamSpeed) {
	u := h.upstreams[m.Upstream]
	if h.without.Has(mechanism.StatedSpeeds) || u == nil || m.Boot != "" && m.Boot != strconv.FormatInt(u.Born, 10) {
		return
	}
	factor := float64(m.Percent) / percentUsual
	ds, taken := h.placement.OnSlowdown(now, now.Add(-m.Age), m.Upstream, factor)
	if taken {
		h.noteSpeed(now, m, factor)
	}
	h.decide(now, ds)
}

// noteSpeed logs an upstream's speed, at a bounded rate.
func (h *Home) noteSpeed(now time.Time, m msg.UpstreamSpeed, factor float64) {
	n := h.speedNotes[m.Upstream]
	if n == nil {
		n = &slowdown.Noted{}
		h.speedNotes[m.Upstream] = n
	}
	if skipped, due := n.Due(now, factor); due {
		_, mean, _ := h.placement.Slowdown(now, m.Upstream)
		h.note("upstream_speed", "upstream", m.Upstream, "slowdown", factor, "mean", mean, "age", m.Age, "skipped", skipped)
	}
}
