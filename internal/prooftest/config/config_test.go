// Package config_test proves on the whole path that an accepted configuration
// is in force everywhere within seconds and never reverts.
package config_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/apply"
	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/table"
	"mulberrylug.example/mulberrylug/internal/demo"
	platformclient "mulberrylug.example/mulberrylug/internal/platform"
	"mulberrylug.example/mulberrylug/internal/standin"
	"mulberrylug.example/mulberrylug/internal/standin/platform"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// patience bounds waits on a busy machine; it is no part of the promise.
const patience = 20 * time.Second

func startFleet(t *testing.T) *demo.Fleet {
	t.Helper()
	f, err := demo.StartFleet(context.Background(), demo.FleetOptions{Instances: 3, Services: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	waitInForce(t, f, 1)
	return f
}

// files returns the fleet's configuration with another API key: requests with
// the first one tell an old version from a new one.
func files(key string) []config.File {
	text := demo.Configuration(demo.FleetOptions{Instances: 3, Services: 1})
	text = strings.Replace(text, config.HashKey(demo.APIKey), config.HashKey(key), 1)
	return []config.File{{Name: "demo.yaml", Data: []byte(text)}}
}

func status(t *testing.T, i *demo.Instance) (st struct {
	Number int64
	Ready  bool
},
) {
	t.Helper()
	got, err := i.Status(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	st.Number, st.Ready = got.ConfigNumber, got.Ready
	return st
}

func waitInForce(t *testing.T, f *demo.Fleet, number int64) {
	t.Helper()
	for _, i := range f.Instances {
		testkit.Eventually(t, patience, fmt.Sprintf("%s serves by version %d", i.Name, number), func() bool {
			st := status(t, i)
			return st.Number == number && st.Ready
		})
	}
}

// reasonOf asks for stock and returns the reason of the refusal, "" if served.
func reasonOf(t *testing.T, address, key string) string {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/services/order-desk/stock", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return "no answer"
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return ""
	}
	var p struct {
		Reason string `json:"reason"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
		t.Error(err)
	}
	return p.Reason
}

// applyAt applies through an instance, or straight to the platform for an odd n.
func applyAt(f *demo.Fleet, n int, req apply.Request) (core.ConfigPointer, error) {
	ctx := context.Background()
	if n%2 == 0 {
		return apply.ApplyThrough(ctx, f.Instances[n/2].OperatorAddress(), req)
	}
	srv, err := standin.Start("127.0.0.1:0", f.Platform)
	if err != nil {
		return core.ConfigPointer{}, err
	}
	defer srv.Close()
	return apply.Apply(ctx, platformclient.NewClient("http://"+srv.Address()), req)
}

// Six operators apply on version 1 at the same moment, through instances and
// straight to the platform, and one of the table's answers is lost. One of them
// is told that version 2 is in force, the others that it won; every instance
// then serves by it.
func TestPromise7RacingOperators(t *testing.T) {
	f := startFleet(t)
	f.Platform.SetFaults(platform.Faults{LoseAnswers: 1, LoseMatching: "config/"})
	const operators = 6
	results := make(chan error, operators)
	for n := range operators {
		go func() {
			name := fmt.Sprintf("operator-%d", n)
			req := apply.Request{Files: files(name), Operator: name, ApplyID: name, Base: 1}
			_, err := applyAt(f, n, req)
			results <- err
		}()
	}
	var losers []*apply.Conflict
	for range operators {
		var conflict *apply.Conflict
		switch err := <-results; {
		case errors.As(err, &conflict):
			losers = append(losers, conflict)
		case err != nil:
			t.Errorf("error = %v, want none or a conflict", err)
		}
	}
	if len(losers) != operators-1 {
		t.Fatalf("%d operators lost, want %d", len(losers), operators-1)
	}
	for _, l := range losers {
		if l.Number != 2 || l.Operator != losers[0].Operator {
			t.Errorf("a loser was told %+v, another %+v", l, losers[0])
		}
	}
	waitInForce(t, f, 2)
	for _, i := range f.Instances {
		if got := reasonOf(t, i.CallerAddress(), losers[0].Operator); got == core.ReasonBadKey {
			t.Errorf("%s does not serve by the winner's version", i.Name)
		}
	}
}

// An instance freezes for longer than a confirmation lasts. Meanwhile a change
// takes a key away, and a caller with that key waits at the frozen instance. On
// waking, the instance decides on the caller's request first, with its old view:
// it must refuse and not serve by the version that was replaced.
func TestPromise7FrozenInstanceWakes(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	frozen := f.Instances[0]
	thawed := make(chan struct{})
	go func() {
		defer close(thawed)
		frozen.Freeze(4500 * time.Millisecond)
	}()
	testkit.Eventually(t, patience, "the instance is frozen", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := frozen.Status(ctx)
		return err != nil
	})
	answers := make(chan string)
	const callers = 8
	for range callers {
		go func() { answers <- reasonOf(t, frozen.CallerAddress(), demo.APIKey) }()
	}
	req := apply.Request{Files: files("another-key"), Operator: "o", ApplyID: "a", Base: 1}
	if _, err := apply.ApplyThrough(context.Background(), f.Instances[1].OperatorAddress(), req); err != nil {
		t.Fatal(err)
	}
	<-thawed
	for range callers {
		if got := <-answers; got != core.ReasonUnconfirmed && got != core.ReasonBadKey {
			t.Errorf("a caller without a valid key got %q, want %s or %s", got, core.ReasonUnconfirmed, core.ReasonBadKey)
		}
	}
	waitInForce(t, f, 2)
}

// The table and the object store go down. An instance that starts then gets the
// version and its object from the others and serves; so do the others, for longer
// than a confirmation lasts. When the store is back, a change is in force at all.
func TestPromise7InstanceStartsInOutage(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	f.Platform.SetFaults(platform.Faults{Down: true})
	began := time.Now()
	if err := f.AddInstance("entry-4"); err != nil {
		t.Fatal(err)
	}
	waitInForce(t, f, 1)
	testkit.Eventually(t, patience, "the outage outlasts a confirmation", func() bool {
		return time.Since(began) > 5*time.Second
	})
	waitInForce(t, f, 1)
	if got := reasonOf(t, f.Instances[3].CallerAddress(), "no-such-key"); got != core.ReasonBadKey {
		t.Errorf("the new instance answers %q to an unknown key, want %s", got, core.ReasonBadKey)
	}
	f.Platform.SetFaults(platform.Faults{})
	req := apply.Request{Files: files("another-key"), Operator: "o", ApplyID: "a", Base: 1}
	if _, err := apply.ApplyThrough(context.Background(), f.Instances[3].OperatorAddress(), req); err != nil {
		t.Fatal(err)
	}
	waitInForce(t, f, 2)
}

// A change is accepted through an instance, and in the same moment the store
// goes down: no reader has seen the row. The instance tells the others itself.
func TestPromise7OutageRightAfterTheChange(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	req := apply.Request{Files: files("another-key"), Operator: "o", ApplyID: "a", Base: 1}
	if _, err := apply.ApplyThrough(context.Background(), f.Instances[2].OperatorAddress(), req); err != nil {
		t.Fatal(err)
	}
	f.Platform.SetFaults(platform.Faults{Down: true})
	waitInForce(t, f, 2)
}

// dyingStore is the platform as an operator's process sees it that is killed
// between the object and the row.
type dyingStore struct {
	apply.Store
	kill context.CancelFunc
}

func (s dyingStore) Commit(context.Context, table.Tx) table.Result {
	s.kill()
	return table.Result{Status: table.Unknown}
}

// The operator's process is killed after it has written the object and before
// it moves the row. Nothing is in force of it; the same apply repeated is.
func TestPromise7ApplyKilledHalfWay(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	srv, err := standin.Start("127.0.0.1:0", f.Platform)
	if err != nil {
		t.Fatal(err)
	}
	defer srv.Close()
	client := platformclient.NewClient("http://" + srv.Address())
	ctx, kill := context.WithCancel(context.Background())
	defer kill()
	req := apply.Request{Files: files("another-key"), Operator: "o", ApplyID: "a", Base: 1}
	var undecided *apply.Undecided
	if _, err := apply.Apply(ctx, dyingStore{Store: client, kill: kill}, req); !errors.As(err, &undecided) {
		t.Fatalf("error = %v, want *apply.Undecided", err)
	}
	waitInForce(t, f, 1)
	if p, err := apply.Apply(context.Background(), client, req); err != nil || p.Number != 2 {
		t.Fatalf("repeat = %+v, %v, want version 2", p, err)
	}
	waitInForce(t, f, 2)
}
