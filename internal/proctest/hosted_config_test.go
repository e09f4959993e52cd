package proctest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/fleet"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/standin/hosting"
)

// readersInOrder lists the instances in the order in which they take over the reading of the store.
func readersInOrder(machines []hosting.Machine) []hosting.Machine {
	now, byName := time.Now(), map[string]hosting.Machine{}
	heartbeat := func(m hosting.Machine) msg.Heartbeat {
		return msg.Heartbeat{Name: m.Name, DataCentre: m.Zone, PeerAddress: m.IP, StoreReachable: true}
	}
	view := fleet.New(now, heartbeat(machines[0]), map[string]string{hosting.DefaultZone: hosting.DefaultRegion}, 0)
	for _, m := range machines {
		byName[m.Name] = m
		view.OnHeartbeat(now, heartbeat(m))
	}
	var order []hosting.Machine
	for range machines {
		m := byName[view.Readers(now)[0]]
		order = append(order, m)
		failed := heartbeat(m)
		failed.StoreReachable = false
		view.OnHeartbeat(now, failed)
		if m.Name == machines[0].Name {
			view.SetSelf(now, true, false, false)
		}
	}
	return order
}

// The reader of the store loses it, and so do the instances that replace it, one after the other. An
// instance that reaches the store all the time must have a new configuration in force in time: it
// refuses the revoked key and accepts the new one.
func TestHostedConfigurationIsInForceWhileReadersLoseTheStore(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	for k := hostedInstanceCount; k < 8; k++ {
		f.addInstance(t, fmt.Sprintf("entry-%d", k))
	}
	f.waitReady(t)
	time.Sleep(2 * time.Second) // roles move to other instances until all have been alive for some time
	order := readersInOrder(f.machines)
	for _, m := range order[:6] {
		f.Table.SetFor(m.Name, hosting.Silent)
	}
	f.Configure(func(c map[string]any) {
		c["tenants"] = []map[string]any{{"name": hosting.Owner, "api_keys": []string{"key-two"}}}
	})
	time.Sleep(hosting.ApplyWithin)
	for _, m := range order[6:] {
		if r := f.do(m, booking("revoked-"+m.Name)); r.status == http.StatusOK {
			t.Errorf("%s accepted a revoked key: %+v, want a refusal", m.Name, r)
		}
		c := booking("new-" + m.Name)
		c.key = "key-two"
		if r := f.do(m, c); r.status != http.StatusOK {
			t.Errorf("%s: booking with the new key: %+v, want a success", m.Name, r)
		}
	}
}
