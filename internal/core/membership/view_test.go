package membership

import (
	"slices"
	"testing"
	"time"
)

func entry(name, address string) Member {
	return Member{Name: name, Role: RoleEntry, State: Live, PeerAddress: address}
}

// An instance announces that it leaves, but the lagging list still shows it as live. It must
// not be listed as an entry until its mark expires. A new instance with the same name at
// another address is listed at once.
func TestPromise6LeavingOutlastsALaggingList(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		after   time.Duration
		address string
		want    bool
	}{
		{"at once", 0, "old", false},
		{"while the list lags", leavingDuration - time.Second, "old", false},
		{"after the mark has expired", leavingDuration, "old", true},
		{"replaced at another address", time.Second, "new", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := NewView(entry("self", "s"))
			v.Update(start, []Member{entry("other", "old")})
			v.MarkLeaving(start, "other")
			if slices.Contains(v.LiveInstances(), "other") {
				t.Error("instance is still an entry right after MarkLeaving, want no entry")
			}
			now := start.Add(c.after)
			v.Update(now, []Member{entry("other", c.address)})
			if got := slices.Contains(v.LiveInstances(), "other"); got != c.want {
				t.Errorf("instance is an entry = %v, want %v", got, c.want)
			}
		})
	}
}
