package hosted

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/metrics"
)

// A version takes effect too late, after two sources have not responded. The log must name both, and
// say how long the former state had been unconfirmed.
func TestALateConfigurationIsLoggedWithTheSourcesThatFailed(t *testing.T) {
	var out bytes.Buffer
	f := &freshness{metrics: metrics.NewMetrics(), log: hclog.New(&hclog.LoggerOptions{Output: &out}), bound: func() time.Duration { return 2 * time.Second }}
	f.adopted(7, "entry-1", 1900*time.Millisecond, time.Millisecond)
	f.confirmed("entry-1", 1900*time.Millisecond)
	if out.Len() > 0 {
		t.Errorf("logged %q for a version that took effect in time, want nothing", out.String())
	}
	f.queryFailed("entry-1", 900*time.Millisecond)
	f.queryFailed("entry-2", 900*time.Millisecond)
	f.check("entry-2", 2010*time.Millisecond)
	f.check("entry-2", 2110*time.Millisecond)
	f.adopted(8, "store", 2200*time.Millisecond, 5*time.Millisecond)
	f.confirmed("store", 2200*time.Millisecond)
	f.check("store", 0)
	got := out.String()
	for text, want := range map[string]int{
		"configuration_unconfirmed:": 1, "configuration_late: version=8 source=store unconfirmed_for=2.2s": 1,
		`failed="entry-1:900ms,entry-2:900ms"`: 2, "configuration_confirmed_again:": 1,
	} {
		if n := strings.Count(got, text); n != want {
			t.Errorf("log has %q %d times, want %d:\n%s", text, n, want, got)
		}
	}
}
