package demo

import (
	"fmt"
	"strings"

	"mulberrylug.example/mulberrylug/internal/core/config"
)

// organisation is one of the demo's organisations, with its API key and its limits in the
// form of the configuration.
type organisation struct {
	name, key, limits string
}

// The demo's organisations: ample has high limits; tight has a spend
// limit that is used up within a run, so that an overspend would be detected.
var (
	ample = organisation{
		name: "nitrogen-depot", key: APIKey,
		limits: "{spend: 1000.00, requests_per_second: 2000, tokens_per_second: 100000, max_output_tokens: 1024, concurrent: 512}",
	}
	tight = organisation{
		name: "village-dairy", key: "demo-key-of-the-dairy",
		limits: "{spend: 0.30, requests_per_second: 100, tokens_per_second: 10000, max_output_tokens: 256, concurrent: 16}",
	}
)

// APIKey is the API key of the demo's organisation with ample limits.
const APIKey = "demo-key"

// model is the name of the demo's only model.
const model = "dispatch-7b"

// Configuration returns the demo's configuration, as YAML, for a fleet of the given size.
func Configuration(o FleetOptions) string {
	var b strings.Builder
	b.WriteString(`deployment:
  name: demo
  regions:
    kerala-south: [kochi-a]
  weights: {stall: 1, preemptions: 1, tail: 1}
  stream_key: a-demo-key-that-is-long-enough-to-sign
  entry_ttl: 2s
organisations:
`)
	for _, org := range []organisation{ample, tight} {
		fmt.Fprintf(&b, "  - name: %s\n    key_sha256: [%s]\n    services: [assistant, order-desk]\n    limits: %s\n",
			org.name, config.HashKey(org.key), org.limits)
	}
	fmt.Fprintf(&b, `models:
  - {name: %s, prompt_price: 0.10, output_price: 0.40}
services:
  - {name: assistant, kind: engine, model: %s}
  - {name: order-desk, kind: plain, call_price: 0.01, timeout: 3s}
upstreams:
`, model, model)
	for n := range o.Engines {
		fmt.Fprintf(&b, "  - {name: engine-%d, service: assistant, data_centre: kochi-a}\n", n+1)
	}
	for n := range o.Services {
		fmt.Fprintf(&b, "  - {name: desk-%d, service: order-desk, data_centre: kochi-a}\n", n+1)
	}
	return b.String()
}
