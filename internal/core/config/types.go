// Package config holds the configuration of a deployment: the types of its YAML documents,
// their defaults, their validation and the lookups that requests need. A configuration is
// validated as one unit, published as one immutable object and replaced atomically; each
// request uses one version from start to end.
package config

import "time"

// The kinds of services.
const (
	// KindEngine marks a service of model engines that stream tokens.
	KindEngine = "engine"
	// KindPlain marks a service of ordinary upstreams, which send one complete response to each
	// request.
	KindPlain = "plain"
)

// Config is a complete configuration, merged from all files of a directory.
type Config struct {
	Deployment    Deployment     `yaml:"deployment" json:"deployment"`
	Organisations []Organisation `yaml:"organisations" json:"organisations" validate:"dive"`
	Models        []Model        `yaml:"models" json:"models" validate:"dive"`
	Services      []Service      `yaml:"services" json:"services" validate:"dive"`
	Upstreams     []Upstream     `yaml:"upstreams" json:"upstreams" validate:"dive"`
}

// Deployment holds the settings of the whole installation: its name, its regions and the
// weights of its measures.
type Deployment struct {
	Name string `yaml:"name" json:"name" validate:"required,safename"`
	// Regions maps the name of each region to its data centres.
	Regions map[string][]string `yaml:"regions" json:"regions" validate:"required,min=1,dive,keys,safename,endkeys,required,min=1,dive,safename"`
	Weights Weights             `yaml:"weights" json:"weights"`
	// StreamKey is the key that signs resume handles. It has at least 32 characters.
	StreamKey string `yaml:"stream_key" json:"stream_key" validate:"required,min=32"`
	// EntryTTL is how long callers may keep a list of entries. Default 30s.
	EntryTTL Duration `yaml:"entry_ttl" json:"entry_ttl" validate:"gt=0"`
	// ResumeWindow is how long a generation continues after its caller has disconnected, before
	// it is cancelled. Default 30s.
	ResumeWindow Duration `yaml:"resume_window" json:"resume_window" validate:"gt=0"`
}

// Weights holds the weight of each measure. The weights determine the headroom and the queue
// order of the placement policy. Each defaults to 1.
type Weights struct {
	Stall       float64 `yaml:"stall" json:"stall" validate:"gte=0"`
	Preemptions float64 `yaml:"preemptions" json:"preemptions" validate:"gte=0"`
	Tail        float64 `yaml:"tail" json:"tail" validate:"gte=0"`
}

// Organisation is a customer with its API keys, the services that it may call and its limits.
type Organisation struct {
	Name string `yaml:"name" json:"name" validate:"required,safename"`
	// KeySHA256 lists the accepted API keys as hex SHA-256 digests.
	KeySHA256 []string `yaml:"key_sha256" json:"key_sha256" validate:"required,min=1,dive,len=64,hexadecimal,lowercase"`
	// Services lists the names of the services that the organisation may call.
	Services []string `yaml:"services" json:"services" validate:"required,min=1"`
	Limits   Limits   `yaml:"limits" json:"limits"`
	// AllowedRegions are the regions in which the organisation's requests may run. Default all.
	AllowedRegions []string `yaml:"allowed_regions,omitempty" json:"allowed_regions,omitempty" validate:"dive,safename"`
}

// Limits bounds what an organisation may spend and use.
type Limits struct {
	// Spend is the maximum amount that may be charged within Period.
	Spend Money `yaml:"spend" json:"spend" validate:"gt=0"`
	// Period is the accounting period: "hour", "day" or "month" (30 days).
	// Default "day".
	Period string `yaml:"period" json:"period" validate:"oneof=hour day month"`
	// RequestsPerSecond is the rate of a token bucket for requests. Default 50.
	RequestsPerSecond float64 `yaml:"requests_per_second" json:"requests_per_second" validate:"gt=0"`
	// TokensPerSecond is the maximum rate of output tokens. Default 20000.
	TokensPerSecond float64 `yaml:"tokens_per_second" json:"tokens_per_second" validate:"gt=0"`
	// MaxOutputTokens is the maximum number of tokens in one generation. Default 4096.
	MaxOutputTokens int `yaml:"max_output_tokens" json:"max_output_tokens" validate:"gt=0,lte=1000000"`
	// Concurrent is the maximum number of requests in progress. Default 64.
	Concurrent int `yaml:"concurrent" json:"concurrent" validate:"gt=0"`
}

// Model is a model that engines run, with its prices.
type Model struct {
	Name string `yaml:"name" json:"name" validate:"required,safename"`
	// Version is the version of the model's weights that engines are ordered to load. By
	// default it is empty and engines keep their current version.
	Version string `yaml:"version" json:"version" validate:"omitempty,safename"`
	// PromptPrice and OutputPrice are the prices of 1,000 tokens.
	PromptPrice Money `yaml:"prompt_price" json:"prompt_price" validate:"gte=0"`
	OutputPrice Money `yaml:"output_price" json:"output_price" validate:"gte=0"`
}

// Service is a service that organisations call.
type Service struct {
	Name string `yaml:"name" json:"name" validate:"required,safename"`
	// Kind is "engine" or "plain".
	Kind string `yaml:"kind" json:"kind" validate:"oneof=engine plain"`
	// Model is the name of the model; only for engine services.
	Model string `yaml:"model,omitempty" json:"model"`
	// CallPrice is the price of each executed call; only for plain services.
	CallPrice Money `yaml:"call_price" json:"call_price" validate:"gte=0"`
	// Timeout is the maximum duration of one call. Default 10s for plain services and 10m for
	// engine services.
	Timeout Duration `yaml:"timeout" json:"timeout" validate:"gt=0"`
	// FirstToken is the target for the time to the first token. A longer wait counts as stall
	// time. Default 1.8s; only for engine services.
	FirstToken Duration `yaml:"first_token,omitempty" json:"first_token" validate:"gte=0"`
	// MaxWait is the maximum time that a request may be queued before it is refused. Default
	// 20s.
	MaxWait Duration `yaml:"max_wait" json:"max_wait" validate:"gt=0"`
	// AllowedRegions are the regions in which the service's requests may run; an organisation
	// that calls the service must allow at least one of them, too. Default all.
	AllowedRegions []string `yaml:"allowed_regions,omitempty" json:"allowed_regions,omitempty" validate:"dive,safename"`
}

// Upstream is one upstream of a service. Its current address comes from the platform's instance
// list.
type Upstream struct {
	Name       string `yaml:"name" json:"name" validate:"required,safename"`
	Service    string `yaml:"service" json:"service" validate:"required"`
	DataCentre string `yaml:"data_centre" json:"data_centre" validate:"required"`
	// ChecksFencing is set if the upstream rejects orders with an outdated fencing number.
	// Default false.
	ChecksFencing bool `yaml:"checks_fencing" json:"checks_fencing"`
}

// Duration is a time.Duration written as "250ms", "30s" or "10m".
type Duration time.Duration

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// String returns the duration in the form that ParseDuration accepts.
func (d Duration) String() string { return d.D().String() }

// Money is an amount in millionths of the deployment's currency unit.
type Money int64
