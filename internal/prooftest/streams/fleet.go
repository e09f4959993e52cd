package streams

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/client"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/membership"
	"mulberrylug.example/mulberrylug/internal/demo"
	platformclient "mulberrylug.example/mulberrylug/internal/platform"
	"mulberrylug.example/mulberrylug/internal/standin"
	"mulberrylug.example/mulberrylug/internal/standin/engine"
	"mulberrylug.example/mulberrylug/internal/standin/relay"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

const (
	pressKey = "press-key"
	// waitTimeout limits each wait for a condition or a response.
	waitTimeout = 25 * time.Second
)

// fleet is a demo fleet whose engines are reached through TCP relays that inject
// faults; clients made by its methods reach the instances through such relays, too.
type fleet struct {
	*demo.Fleet
	engines []*relayedEngine
	relays  []*relay.Relay
}

// relayedEngine is an engine with the relay that the platform lists as its address.
type relayedEngine struct {
	*engine.Engine
	server *standin.Server
	relay  *relay.Relay
	// onCrash is called when the engine meets a prompt that crashes it.
	onCrash func()
}

// crash drops the engine's state in memory and breaks its connections. The engine
// is unreachable until reopen is called.
func (r *relayedEngine) crash() {
	r.server.Close()
	r.Reboot()
}

// reopen makes the engine listen on its port again. It retries, because an outgoing
// connection of another process may use the port for a moment.
func (r *relayedEngine) reopen(t *testing.T) {
	t.Helper()
	testkit.Eventually(t, waitTimeout, "the engine listens on its port again", func() bool { return r.server.Reopen() == nil })
}

// startFleet starts three instances and the given number of engines behind relays.
// Unless s.Median is set, generations have about 60 tokens at 10 ms each. An
// organisation besides those of the demo has the API key pressKey.
func startFleet(t *testing.T, engines int, s engine.Settings) *fleet {
	t.Helper()
	text := demo.Configuration(demo.FleetOptions{Engines: engines, Services: 2})
	text = strings.Replace(text, "models:", fmt.Sprintf(`  - name: press
    key_sha256: [%s]
    services: [assistant, order-desk]
    limits: {spend: 1000.00, max_output_tokens: 512}
  - name: forbidden
    key_sha256: [%s]
    services: [order-desk]
    limits: {spend: 1000.00, max_output_tokens: 512}
models:`, config.HashKey(pressKey), config.HashKey("forbidden-key")), 1)
	ctx, cancel := context.WithCancel(context.Background())
	df, err := demo.StartFleet(ctx, demo.FleetOptions{
		Instances: 3, Services: 2, Configuration: []config.File{{Name: "test.yaml", Data: []byte(text)}},
	})
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{Fleet: df}
	t.Cleanup(func() { cancel(); df.Stop() })
	for n := range engines {
		f.addEngine(ctx, t, fmt.Sprintf("engine-%d", n+1), s)
	}
	f.waitServing(t)
	return f
}

func (f *fleet) addEngine(ctx context.Context, t *testing.T, name string, s engine.Settings) {
	t.Helper()
	s.Name, s.Sigma = name, 0.01
	if s.Median == 0 {
		s.Median = 60
	}
	e := &relayedEngine{}
	e.onCrash = e.crash
	s.OnCrash = func() { go e.onCrash() }
	e.Engine = engine.New(s)
	var err error
	if e.server, err = standin.Start("127.0.0.1:0", e.Handler()); err != nil {
		t.Fatal(err)
	}
	if e.relay, err = relay.Start(e.server.Address()); err != nil {
		t.Fatal(err)
	}
	platformServer, err := standin.Start("127.0.0.1:0", f.Platform)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { e.server.Close(); e.relay.Close(); platformServer.Close() })
	platform := platformclient.NewClient("http://" + platformServer.Address())
	m := membership.Member{Name: name, Role: "assistant", DataCentre: "kochi-a", Address: e.relay.Address(), State: membership.Live}
	go e.Run(ctx.Done())
	go standin.Every(ctx, 300*time.Millisecond, func() {
		_ = platform.Announce(ctx, m) // a failed announcement is repeated after 300 ms
	})
	f.engines = append(f.engines, e)
}

// waitServing waits until a request is served: a home that has just started refuses
// requests until it has received the first reports.
func (f *fleet) waitServing(t *testing.T) {
	t.Helper()
	testkit.Eventually(t, waitTimeout, "a request is served", func() bool {
		_, err := f.client(t, 0).Stream(context.Background(), client.Completion{Model: "dispatch-7b", Prompt: "ready?", MaxTokens: 1}, nil)
		return err == nil
	})
}

// client returns a client that reaches the instances through its own relays.
func (f *fleet) client(t *testing.T, retries int) *client.Client {
	return f.clientWithKey(t, demo.APIKey, retries)
}

func (f *fleet) clientWithKey(t *testing.T, key string, retries int) *client.Client {
	t.Helper()
	var addresses []string
	for _, seed := range f.Seeds() {
		r, err := relay.Start(seed)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		f.relays = append(f.relays, r)
		addresses = append(addresses, r.Address())
	}
	seed := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"addresses": addresses, "keep_seconds": 3600})
	}))
	t.Cleanup(seed.Close)
	return client.New(client.Options{Seeds: []string{seed.Listener.Addr().String()}, APIKey: key, Retries: retries})
}

// checkTokens fails the test unless the text consists of the tokens of one
// generation of some engine, each once and in order, and all of them if complete is
// set.
func (f *fleet) checkTokens(t *testing.T, text string, complete bool) {
	t.Helper()
	hash, _, _ := strings.Cut(text, "-")
	for _, e := range f.engines {
		for _, rec := range e.Records() {
			if rec.Text != hash {
				continue
			}
			var want strings.Builder
			for n := range len(strings.Fields(text)) {
				fmt.Fprintf(&want, "%s-%d ", hash, n)
			}
			if text != want.String() {
				t.Errorf("text = %q, want each token once and in order", text)
			}
			if got := len(strings.Fields(text)); complete && got != rec.Tokens {
				t.Errorf("got %d tokens, want all %d tokens of the generation", got, rec.Tokens)
			}
			return
		}
	}
	t.Errorf("no engine has a record of generation %q (text of %d bytes), want one", hash, len(text))
}
