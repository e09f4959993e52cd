package core_test

import (
	"fmt"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/budget"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
)

// BenchmarkEntryRequest measures a complete request with one token at its entry:
// admission, reservation, placement, dispatch, token, end and settlement.
func BenchmarkEntryRequest(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			h := newTargetHarness(b, s)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				id, attempt := h.startRequest(n, s.orgs)
				h.handle(core.UpstreamToken{Request: id, Attempt: attempt, Link: 1, Index: 0, Text: "token "})
				h.handle(core.UpstreamEnd{Request: id, Attempt: attempt, Link: 1, Tokens: 1, Reason: "stop"})
				n++
			}
			if h.inst.Requests() != 0 {
				b.Fatalf("requests in progress = %d after their end events, want 0", h.inst.Requests())
			}
		})
	}
}

// BenchmarkEntryToken measures the delivery of one token by the core.
func BenchmarkEntryToken(b *testing.B) {
	h := newTargetHarness(b, sizeMiddle)
	r := request(0, sizeMiddle.orgs)
	r.MaxTokens = maxOutput
	h.handle(r)
	id, attempt := r.ID, r.ID+"/1"
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		h.inst.Handle(h.now, core.UpstreamToken{Request: id, Attempt: attempt, Link: 1, Index: n, Text: "token "})
		n++
	}
	if h.inst.Requests() != 1 {
		b.Fatal("the request ended although the engine had sent no end event, want it in progress")
	}
}

// BenchmarkEntrySecond measures fifty ticks (one second) of an entry that has the
// target's number of running generations. It includes their announcements and one
// token for each generation.
func BenchmarkEntrySecond(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			h := newTargetHarness(b, s)
			for n := range runningPerInstance {
				h.startRequest(n, s.orgs)
			}
			h.answersPolls = false // the simulated reports list no generations
			b.ReportAllocs()
			for second := 0; b.Loop(); second++ {
				h.progress(second)
				for range 50 {
					h.tick(20 * time.Millisecond)
				}
			}
			if h.inst.Requests() != runningPerInstance {
				b.Fatalf("requests in progress = %d, want %d", h.inst.Requests(), runningPerInstance)
			}
		})
	}
}

// progress delivers the token with the given index to each running generation.
func (h *targetHarness) progress(index int) {
	for n := range runningPerInstance {
		id := fmt.Sprintf("%s:0123abcd:%d", selfName, n)
		h.inst.Handle(h.now, core.UpstreamToken{Request: id, Attempt: id + "/1", Link: 1, Index: index, Text: "token "})
	}
}

// grantRequest returns the n-th grant request to the home of a pool.
func grantRequest(pool string, n int) msg.GrantRequest {
	return msg.GrantRequest{Pool: pool, Request: placement.Request{
		Attempt: attemptName(n), Org: orgName(n % 1000), Fingerprint: uint64(n) + 1, Prompt: 250, MaxOutput: 500,
		Prefix: make([]uint64, 8), MaxWait: 20 * time.Second,
	}}
}

// newPoolHomeHarness makes the instance the home of a pool whose upstreams each run
// the target's number of generations.
func newPoolHomeHarness(b *testing.B) (h *targetHarness, pool string, upstreams []string) {
	h = newTargetHarness(b, sizeTarget)
	v := config.Compile(1, "", sizeTarget.config())
	p := v.Pool(v.PoolOf(upstreamName(0)))
	for _, u := range p.Upstreams {
		h.handle(core.UpstreamReport{PolledAt: h.now, Report: report(u, 0)})
	}
	n := 0
	for range len(p.Upstreams) * gensPerEngine {
		h.handle(core.PeerMessage{From: "entry-1", Msg: grantRequest(p.Name, n)})
		n++
	}
	return h, p.Name, p.Upstreams
}

// BenchmarkPoolHomeGrant measures one grant and its end at the home of a pool of the
// target's size, with the target's number of running generations.
func BenchmarkPoolHomeGrant(b *testing.B) {
	h, pool, upstreams := newPoolHomeHarness(b)
	n := len(upstreams) * gensPerEngine
	b.ReportAllocs()
	for b.Loop() {
		req := grantRequest(pool, n)
		h.inst.Handle(h.now, core.PeerMessage{From: "entry-1", Msg: req})
		h.inst.Handle(h.now, core.PeerMessage{From: "entry-1", Msg: msg.GrantEnd{Pool: pool, Attempt: req.Request.Attempt, Tokens: 250}})
		n++
	}
}

// BenchmarkPoolHomeReport measures the processing of one upstream's load report at
// the home of its pool.
func BenchmarkPoolHomeReport(b *testing.B) {
	h, _, upstreams := newPoolHomeHarness(b)
	r := report(upstreams[0], gensPerEngine)
	b.ReportAllocs()
	for b.Loop() {
		h.inst.Handle(h.now, core.UpstreamReport{PolledAt: h.now, Report: r})
	}
}

// BenchmarkPoolHomeAnnounce measures the processing of one entry's announcement of
// all its running attempts at the home of their pool.
func BenchmarkPoolHomeAnnounce(b *testing.B) {
	h, pool, upstreams := newPoolHomeHarness(b)
	m := msg.Announce{Pool: pool}
	for n := range runningPerInstance {
		m.Running = append(m.Running, msg.RunningAttempt{Request: grantRequest(pool, n).Request, Upstream: upstreams[0], Tokens: n})
	}
	b.ReportAllocs()
	for b.Loop() {
		h.inst.Handle(h.now, core.PeerMessage{From: "entry-1", Msg: m})
	}
}

// BenchmarkOrgHomeReserve measures one reservation and its settlement at the home
// of an organisation.
func BenchmarkOrgHomeReserve(b *testing.B) {
	for _, orgs := range []int{80, 31_000} {
		b.Run(fmt.Sprintf("organisations=%d", orgs), func(b *testing.B) {
			h := newTargetHarness(b, sizeMiddle)
			limits := sizeToday.config().Organisations[0].Limits
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				req := budget.Request{RequestID: attemptName(n), Org: orgName(n % orgs), Limits: limits, Amount: 1000, Tokens: 500}
				h.handle(core.PeerMessage{From: "entry-1", Msg: msg.ReserveRequest{Request: req}})
				h.handle(core.PeerMessage{From: "entry-1", Msg: msg.Settle{Org: req.Org, Request: req.RequestID, Used: 500, Tokens: 250}})
				n++
			}
		})
	}
}

// BenchmarkInstanceList measures the processing of a new instance list.
func BenchmarkInstanceList(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			h := newTargetHarness(b, s)
			list := s.members()
			b.ReportAllocs()
			for b.Loop() {
				h.inst.Handle(h.now, core.InstanceList{Members: list})
			}
		})
	}
}

// BenchmarkConfigChange measures the adoption of a new configuration version, with
// its object decoded either by the core or beforehand, as by the daemon (shell). The
// metric object-B is the size of the object in bytes.
func BenchmarkConfigChange(b *testing.B) {
	for _, s := range sizes {
		b.Run("decode=core/"+s.String(), func(b *testing.B) { newTargetHarness(b, s).changeConfig(b) })
		b.Run("decode=shell/"+s.String(), func(b *testing.B) {
			h := newTargetHarness(b, s)
			h.decodedConfig = s.config()
			h.changeConfig(b)
		})
	}
}

func (h *targetHarness) changeConfig(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		h.number++
		for h.inst.ConfigNumber() != h.number { // the instance reads ConfigRow only in some of its rounds
			h.tick(500 * time.Millisecond)
		}
	}
	b.ReportMetric(float64(len(h.object)), "object-B")
}
