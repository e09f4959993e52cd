// Package config_test tests, end to end over a demo fleet, that an accepted
// configuration is in force on every instance within seconds and never reverts.
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

// waitTimeout limits each wait for a condition. It leaves room for a busy test
// machine and is not a guarantee of the system.
const waitTimeout = 20 * time.Second

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

// configFiles returns the fleet's configuration with demo.APIKey replaced by key.
// A request with demo.APIKey then shows whether an instance applies the old or the
// new version.
func configFiles(key string) []config.File {
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
		testkit.Eventually(t, waitTimeout, fmt.Sprintf("%s is ready and serves configuration version %d", i.Name, number), func() bool {
			st := status(t, i)
			return st.Number == number && st.Ready
		})
	}
}

// refusalReason calls the path stock of the service order-desk and returns the
// reason of the refusal, or "" if the request was served.
func refusalReason(t *testing.T, address, key string) string {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/services/order-desk/stock", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return "no response"
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

// applyAt applies a configuration through an instance if n is even, or directly
// to the platform if n is odd.
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

// Six operators apply a change to version 1 at the same time, through instances
// and directly to the platform, and one of the table's responses is lost. Exactly
// one operator must succeed, with version 2. Each of the others must get a conflict
// that names the successful operator, and every instance must then apply version 2.
func TestPromise7RacingOperators(t *testing.T) {
	f := startFleet(t)
	f.Platform.SetFaults(platform.Faults{LoseAnswers: 1, LoseMatching: "config/"})
	const operators = 6
	results := make(chan error, operators)
	for n := range operators {
		go func() {
			name := fmt.Sprintf("operator-%d", n)
			req := apply.Request{Files: configFiles(name), Operator: name, ApplyID: name, Base: 1}
			_, err := applyAt(f, n, req)
			results <- err
		}()
	}
	var conflicts []*apply.Conflict
	for range operators {
		var conflict *apply.Conflict
		switch err := <-results; {
		case errors.As(err, &conflict):
			conflicts = append(conflicts, conflict)
		case err != nil:
			t.Errorf("apply: error = %v, want nil or *apply.Conflict", err)
		}
	}
	if len(conflicts) != operators-1 {
		t.Fatalf("%d operators got a conflict, want %d", len(conflicts), operators-1)
	}
	for _, c := range conflicts {
		if c.Number != 2 || c.Operator != conflicts[0].Operator {
			t.Errorf("conflict = %+v, want version 2 and the same operator as in %+v", c, conflicts[0])
		}
	}
	waitInForce(t, f, 2)
	for _, i := range f.Instances {
		if got := refusalReason(t, i.CallerAddress(), conflicts[0].Operator); got == core.ReasonBadKey {
			t.Errorf("%s rejects the API key of the accepted version, want the key accepted", i.Name)
		}
	}
}

// An instance freezes for longer than a confirmation of its configuration is
// valid. Meanwhile a change revokes a key, and callers with that key wait at the
// frozen instance. When the instance resumes, it handles these requests before it
// receives the change: it must refuse them instead of applying the replaced version.
func TestPromise7FrozenInstanceWakes(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	frozen := f.Instances[0]
	resumed := make(chan struct{})
	go func() {
		defer close(resumed)
		frozen.Freeze(4500 * time.Millisecond)
	}()
	testkit.Eventually(t, waitTimeout, "the frozen instance stops responding", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := frozen.Status(ctx)
		return err != nil
	})
	reasons := make(chan string)
	const callers = 8
	for range callers {
		go func() { reasons <- refusalReason(t, frozen.CallerAddress(), demo.APIKey) }()
	}
	req := apply.Request{Files: configFiles("another-key"), Operator: "o", ApplyID: "a", Base: 1}
	if _, err := apply.ApplyThrough(context.Background(), f.Instances[1].OperatorAddress(), req); err != nil {
		t.Fatal(err)
	}
	<-resumed
	for range callers {
		if got := <-reasons; got != core.ReasonUnconfirmed && got != core.ReasonBadKey {
			t.Errorf("refusal reason for a revoked key = %q, want %s or %s", got, core.ReasonUnconfirmed, core.ReasonBadKey)
		}
	}
	waitInForce(t, f, 2)
}

// The table and the object store go down. An instance that starts during the
// outage must get the configuration version and its object from its peers and
// serve requests. All instances must keep serving requests for longer than a
// confirmation is valid. After the outage a change must come into force on all
// instances.
func TestPromise7InstanceStartsInOutage(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	f.Platform.SetFaults(platform.Faults{Down: true})
	outageStart := time.Now()
	if err := f.AddInstance("entry-4"); err != nil {
		t.Fatal(err)
	}
	waitInForce(t, f, 1)
	testkit.Eventually(t, waitTimeout, "the outage has lasted longer than the TTL of a confirmation", func() bool {
		return time.Since(outageStart) > 5*time.Second
	})
	waitInForce(t, f, 1)
	if got := refusalReason(t, f.Instances[3].CallerAddress(), "no-such-key"); got != core.ReasonBadKey {
		t.Errorf("refusal reason of the new instance for an unknown key = %q, want %s", got, core.ReasonBadKey)
	}
	f.Platform.SetFaults(platform.Faults{})
	req := apply.Request{Files: configFiles("another-key"), Operator: "o", ApplyID: "a", Base: 1}
	if _, err := apply.ApplyThrough(context.Background(), f.Instances[3].OperatorAddress(), req); err != nil {
		t.Fatal(err)
	}
	waitInForce(t, f, 2)
}

// A change is accepted through an instance, and the store goes down right after
// that, before any reader has read the row. The instance must announce the change
// to its peers itself.
func TestPromise7OutageRightAfterTheChange(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	req := apply.Request{Files: configFiles("another-key"), Operator: "o", ApplyID: "a", Base: 1}
	if _, err := apply.ApplyThrough(context.Background(), f.Instances[2].OperatorAddress(), req); err != nil {
		t.Fatal(err)
	}
	f.Platform.SetFaults(platform.Faults{Down: true})
	waitInForce(t, f, 2)
}

// killedStore is the platform's store as seen by an operator's process that is
// killed after it has written the object and before it commits the row.
type killedStore struct {
	apply.Store
	kill context.CancelFunc
}

func (s killedStore) Commit(context.Context, table.Tx) table.Result {
	s.kill()
	return table.Result{Status: table.Unknown}
}

// The operator's process is killed after it has written the object and before
// it commits the row. The change must not come into force before the same apply is
// repeated.
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
	req := apply.Request{Files: configFiles("another-key"), Operator: "o", ApplyID: "a", Base: 1}
	var undecided *apply.Undecided
	if _, err := apply.Apply(ctx, killedStore{Store: client, kill: kill}, req); !errors.As(err, &undecided) {
		t.Fatalf("apply: error = %v, want *apply.Undecided", err)
	}
	waitInForce(t, f, 1)
	if p, err := apply.Apply(context.Background(), client, req); err != nil || p.Number != 2 {
		t.Fatalf("repeated apply = %+v, error = %v; want version 2 and no error", p, err)
	}
	waitInForce(t, f, 2)
}
