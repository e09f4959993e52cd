package msg

import (
	"testing"
	"time"
)

// A response of an instance that was confirmed after the request had arrived has a negative age. An earlier
// release would take that for no data, and skip the instance. It must get an age that is not newer than true.
func TestNegativeAgesAreSentOnlyToThoseThatUnderstandThem(t *testing.T) {
	arrived := time.Unix(1000, 0)
	for _, c := range []struct {
		confirmed time.Duration
		negative  bool
		want      time.Duration
	}{
		{-300 * time.Millisecond, false, 300 * time.Millisecond},
		{-300 * time.Millisecond, true, 300 * time.Millisecond},
		{600 * time.Millisecond, false, 0},
		{600 * time.Millisecond, true, -600 * time.Millisecond},
		{-NoAge, true, 0},
	} {
		if got := AgeAt(arrived, arrived.Add(c.confirmed), c.negative); got != c.want {
			t.Errorf("age of a confirmation %v after the arrival, negative ages understood %v: %v, want %v", c.confirmed, c.negative, got, c.want)
		}
	}
	if h := (Heartbeat{Class: limitsClass + loadClass + 8}); h.UnderstandsNegativeAges() || !(Heartbeat{Class: ClassOfRelease(8)}).UnderstandsNegativeAges() {
		t.Error("the earlier release counts as understanding negative ages, or this one does not")
	}
}
