package revision

import "testing"

// The store comes back from a copy. A state of the new era must count as newer than every state of the one
// before, although its version is lower, and revisions of the first era must be versions.
func TestTheEraComparesBeforeTheVersion(t *testing.T) {
	if before, after := Of(1, 195), Of(2, 120); after <= before || Of(3, 1) <= after {
		t.Errorf("revisions %d of era 1, %d of era 2 and %d of era 3, want them to rise", before, after, Of(3, 1))
	}
	if Of(0, 7) != 7 || Of(1, 7) != 7 {
		t.Errorf("revisions %d and %d without an era and of the first one, want the version 7", Of(0, 7), Of(1, 7))
	}
	if r := Of(5, 1<<40); Era(r) != 5 || Version(r) != 1<<40 || Era(0) != 1 {
		t.Errorf("era %d, version %d, want 5 and %d", Era(r), Version(r), int64(1)<<40)
	}
}
