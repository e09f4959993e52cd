package cordon

import (
	"slices"
	"testing"
)

// Two rows can contain the same data centres in different order and with duplicates. The sets
// must be the same, because a reader compares each set that it reads with the previous one.
func TestSetsCompareRegardlessOfOrder(t *testing.T) {
	a, b := NewSet(3, []string{"y", "x", "y"}), NewSet(7, []string{"x", "y"})
	if !a.Same(b) || !a.Has("x") || !a.Has("y") || a.Has("z") || !a.Known() || a.Empty() {
		t.Errorf("sets %+v and %+v: want the same known sets, which contain x and y only", a, b)
	}
	if got := a.Lifted(NewSet(8, []string{"y", "z"})); !slices.Equal(got, []string{"x"}) {
		t.Errorf("lifted = %v, want x", got)
	}
	if (Set{}).Known() || !NewSet(1, nil).Known() {
		t.Error("Known of an empty set is true without a version or false with one, want false and true")
	}
}
