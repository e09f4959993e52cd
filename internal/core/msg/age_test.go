package msg

import (
	"testing"
	"time"
)

// A response of an instance that was confirmed after the request had arrived has a negative age. An earlier
// release would take that for no data, and skip the instance. It must get an age that is not newer than true.
func TestNegativeAgesAreSentOnlyToThoseThatUnderstandThem(t *testing.T) {
	arrived := time.Unix(1000, 0)
	for _, c := range []struct{ confirmed, want, earlierRelease time.Duration }{
		{-300 * time.Millisecond, 300 * time.Millisecond, 300 * time.Millisecond},
		{600 * time.Millisecond, -600 * time.Millisecond, 0},
		{-NoAge, 0, 0},
	} {
		r := SyncResponse{ConfigAge: AgeAt(arrived, arrived.Add(c.confirmed)), ListAge: NoAge}
		if got := r.WithoutNegativeAges(); r.ConfigAge != c.want || got.ConfigAge != c.earlierRelease || got.ListAge != NoAge {
			t.Errorf("confirmation %v after the arrival: age %v, and %+v to an earlier release; want %v and %v", c.confirmed, r.ConfigAge, got, c.want, c.earlierRelease)
		}
	}
	if h := (Heartbeat{Class: limitsClass + loadClass + 8}); h.UnderstandsNegativeAges() || !(Heartbeat{Class: ClassOfRelease(8)}).UnderstandsNegativeAges() {
		t.Error("the earlier release counts as understanding negative ages, or this one does not")
	}
}
