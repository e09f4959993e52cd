package suspect

import (
	"testing"
	"time"
)

// Strikes must count once for each crash, expire, and use bounded memory. A strike that
// instances repeatedly send each other must not be kept for ever.
func TestPoisonStrikes(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewList(10 * time.Minute)
	crash := Crash{Upstream: "engine-1", Boot: "a"}
	if !l.Strike(now, Strike{7, crash, now}) || l.Strike(now, Strike{7, crash, now}) {
		t.Error("Strike does not report the first strike as new, or reports its repetition as new, want only the first as new")
	}
	if v := l.Verdict(now, 7); v != Suspected {
		t.Errorf("verdict after one crash = %d, want 1 (Suspected)", v)
	}
	l.Strike(now, Strike{7, Crash{Upstream: "engine-1", Boot: "b"}, now})
	if v := l.Verdict(now, 7); v != Refused {
		t.Errorf("verdict after a second crash of the same upstream = %d, want 2 (Refused)", v)
	}
	for later := now; later.Before(now.Add(time.Hour)); later = later.Add(time.Second) {
		l.Strike(later, Strike{7, crash, now.Add(time.Second)}) // the old strike is received again each second
	}
	if v := l.Verdict(now.Add(time.Hour), 7); v != Clean {
		t.Errorf("verdict after an hour of repeated old strikes = %d, want 0 (Clean)", v)
	}
	for n := range uint64(3 * maxFingerprints) {
		l.Strike(now, Strike{n, crash, now.Add(time.Duration(n))})
	}
	if l.Len() > maxFingerprints {
		t.Errorf("stored fingerprints = %d, want at most %d", l.Len(), maxFingerprints)
	}
	if v := l.Verdict(now, 3*maxFingerprints-1); v != Suspected {
		t.Error("the newest strike was evicted, want it kept")
	}
	if got := l.Recent(now, 5); len(got) != 5 || got[0].Fingerprint != 3*maxFingerprints-1 {
		t.Errorf("Recent(5) = %+v, want the five newest strikes", got)
	}
}
