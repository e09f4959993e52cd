package proctest

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// The store comes back from a copy that was made before a key was revoked, and instances start. They find the old
// configuration in the store, and must not accept the key, as the others have a newer one.
func TestHostedAStartingInstanceDoesNotUseTheConfigurationOfTheCopy(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	time.Sleep(2 * time.Second)
	const newKey = "key-two"
	f.Configure(func(c map[string]any) {
		c["tenants"] = []map[string]any{{"name": hosting.Owner, "api_keys": []string{newKey}, "priority": 1}}
	})
	for _, m := range f.machines {
		testkit.Eventually(t, waitTimeout, m.Name+" refuses the revoked key", func() bool {
			return f.do(m, lookUp("revoked-"+m.Name)).status == http.StatusUnauthorized
		})
	}
	const rewriteAfter = 2500 * time.Millisecond
	f.Restore(1500*time.Millisecond, 200*time.Millisecond, rewriteAfter)
	returned, before := time.Now(), len(f.machines)
	for k := range 3 {
		f.addInstance(t, fmt.Sprintf("entry-late-%d", k))
	}
	served := map[string]int{}
	for k := 0; time.Since(returned) < rewriteAfter; k++ {
		for _, m := range f.machines[before:] {
			if r := f.do(m, lookUp(fmt.Sprintf("old-key-%s-%d", m.Name, k))); r.status == http.StatusOK {
				t.Errorf("%s accepts the revoked key %v after the return of the store", m.Name, time.Since(returned).Round(time.Millisecond))
				return
			}
			c := lookUp(fmt.Sprintf("new-key-%s-%d", m.Name, k))
			c.key = newKey
			if f.do(m, c).status == http.StatusOK {
				served[m.Name]++
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, m := range f.machines[before:] {
		if served[m.Name] == 0 {
			t.Errorf("%s served no request with the new key before the operator wrote the configuration again, want the one of the other instances in force", m.Name)
		}
	}
}

// A key is revoked while the store responds to no instance, and the store comes back from a copy that was made before. The
// old configuration in it must not count as the newest, as the revocation was acknowledged: the key's time is up.
func TestHostedACopyDoesNotConfirmAKeyThatWasRevokedBefore(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	time.Sleep(2 * time.Second)
	f.Table.Set(hosting.Silent)
	f.Configure(func(c map[string]any) {
		c["tenants"] = []map[string]any{{"name": hosting.Owner, "api_keys": []string{"key-two"}, "priority": 1}}
	})
	revoked := time.Now()
	time.Sleep(1500 * time.Millisecond)
	f.Restore(3*time.Second, 200*time.Millisecond, 2500*time.Millisecond)
	for k := 0; time.Since(revoked) < 5*time.Second; k++ {
		for _, m := range f.machines {
			sent := time.Since(revoked)
			r := f.do(m, lookUp(fmt.Sprintf("old-key-%s-%d", m.Name, k)))
			if sent > hosting.RevokeWithin && r.status == http.StatusOK {
				t.Errorf("%s accepts the key %v after it was revoked, want a refusal after %v", m.Name, sent.Round(time.Millisecond), hosting.RevokeWithin)
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// The store comes back from a copy that was made before a data centre was cordoned. Its upstreams must get nothing
// until the operator has written the cordon again.
func TestHostedCordonsStayWhenTheStoreComesBackFromACopy(t *testing.T) {
	t.Parallel()
	f := newFixtureWithDataCentres(t, map[string]string{"zone-a": "region-a", "zone-b": "region-a"}, 2, nil)
	l := newSteadyLoad(f, 45, plainRequest)
	l.run(2 * time.Second)
	f.Cordon("zone-b")
	cordonedAt := time.Now()
	l.run(2500 * time.Millisecond)
	f.Restore(time.Since(cordonedAt)+time.Second, 200*time.Millisecond, 1500*time.Millisecond)
	l.run(4 * time.Second)
	l.open.Wait()
	for _, w := range f.desk {
		if w.Zone != "zone-b" {
			continue
		}
		late := slices.DeleteFunc(w.Arrivals(), func(a hosting.Arrival) bool { return a.At.Before(cordonedAt.Add(drainBound)) })
		if len(late) > 0 {
			t.Errorf("%d requests reached %s from %v after its data centre was cordoned on, want none", len(late), w.ID, late[0].At.Sub(cordonedAt).Round(time.Millisecond))
		}
	}
}
