//go:build !race

package core_test

import (
	"testing"

	"mulberrylug.example/mulberrylug/internal/core"
)

// Guards against costs in the core that grow with the size of the fleet. The test
// counts allocations instead of time, so that the load of the machine does not
// affect the result. Each bound is the measured number plus a tenth; a cost that
// grows with the fleet exceeds it by far. The race detector itself allocates (137
// allocations for a complete request, under 110 without it), so the test is
// excluded from race builds.
func TestAllocationBounds(t *testing.T) {
	h := newTargetHarness(t, sizeTarget)
	id, attempt := h.startRequest(0, sizeTarget.orgs)
	index := 0
	list := sizeTarget.members()
	for _, c := range []struct {
		operation string
		maxAllocs float64
		run       func()
	}{
		{"token", 4, func() {
			h.inst.Handle(h.now, core.UpstreamToken{Request: id, Attempt: attempt, Link: 1, Index: index, Text: "token "})
			index++
		}},
		{"idle tick", 2, func() { h.inst.Handle(h.now, core.Tick{}) }},
		{"complete request", 110, func() {
			index++
			id, attempt := h.startRequest(index+1_000_000, sizeTarget.orgs)
			h.handle(core.UpstreamEnd{Request: id, Attempt: attempt, Link: 1})
		}},
		{"instance list", 30, func() { h.inst.Handle(h.now, core.InstanceList{Members: list}) }},
	} {
		if got := testing.AllocsPerRun(200, c.run); got > c.maxAllocs {
			t.Errorf("%s: %.1f allocations, want at most %.0f", c.operation, got, c.maxAllocs)
		}
	}
}
