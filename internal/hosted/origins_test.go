package hosted

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/origin"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/metrics"
)

// A stream began while all upstreams had one version, so that nobody needed its record. Then that is no longer known:
// another version is listed, or the list grows old. The others must get the record once, before the caller comes back.
func TestRecordsAreSharedOnceOthersNeedThem(t *testing.T) {
	s := &server{gate: forward.New(forward.Options{})} // it has no list, so that nothing is proven
	o := newOrigins(s, metrics.NewMetrics(), hclog.NewNullLogger())
	sent := map[string]int{}
	o.holders = func(string) []string { return []string{"a", "b"} }
	o.send = func(to string, m msg.Message) { sent[to] += len(m.(msg.StreamOrigins).List) }
	now := boottime.Now()
	o.add(origin.Record{Key: origin.Key{Request: "r1"}, Origin: roster.Origin{Service: "pool", Software: "v1"}, At: now, ExpiresAt: now.Add(time.Minute), Own: true})
	o.add(origin.Record{Key: origin.Key{Request: "r2"}, Origin: roster.Origin{Service: "pool", Software: "v1"}, At: now, ExpiresAt: now.Add(time.Minute)})
	o.shareUnproven()
	o.shareUnproven()
	if sent["a"] != 1 || sent["b"] != 1 {
		t.Errorf("sent %v, want the own record once to each holder", sent)
	}
}
