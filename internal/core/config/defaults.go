package config

import (
	"fmt"
	"time"
)

// The defaults of fields that the files do not set.
const (
	defaultEntryTTL        = Duration(30 * time.Second)
	defaultResumeWindow    = Duration(30 * time.Second)
	defaultEngineTimeout   = Duration(10 * time.Minute)
	defaultPlainTimeout    = Duration(10 * time.Second)
	defaultFirstToken      = Duration(1800 * time.Millisecond)
	defaultMaxWait         = Duration(20 * time.Second)
	defaultPeriod          = "day"
	defaultRequestsPerSec  = 50
	defaultTokensPerSec    = 20_000
	defaultMaxOutputTokens = 4096
	defaultConcurrent      = 64
	defaultWeight          = 1
)

// setDefaults sets the fields that the files do not set to their defaults. A field that is set
// to zero stays zero, so that the checks can report it: a default would permit what the
// operator meant to forbid.
func (c *Config) setDefaults(has func(field string) bool) {
	d := &c.Deployment
	setDefault(has, "deployment.entry_ttl", &d.EntryTTL, defaultEntryTTL)
	setDefault(has, "deployment.resume_window", &d.ResumeWindow, defaultResumeWindow)
	setDefault(has, "deployment.weights.stall", &d.Weights.Stall, defaultWeight)
	setDefault(has, "deployment.weights.preemptions", &d.Weights.Preemptions, defaultWeight)
	setDefault(has, "deployment.weights.tail", &d.Weights.Tail, defaultWeight)
	for i := range c.Services {
		c.Services[i].setDefaults(has, fmt.Sprintf("services[%d].", i))
	}
	for i := range c.Organisations {
		c.Organisations[i].Limits.setDefaults(has, fmt.Sprintf("organisations[%d].limits.", i))
	}
}

func (s *Service) setDefaults(has func(string) bool, prefix string) {
	timeout := defaultPlainTimeout
	if s.Kind == KindEngine {
		timeout = defaultEngineTimeout
		setDefault(has, prefix+"first_token", &s.FirstToken, defaultFirstToken)
	}
	setDefault(has, prefix+"timeout", &s.Timeout, timeout)
	setDefault(has, prefix+"max_wait", &s.MaxWait, defaultMaxWait)
}

func (l *Limits) setDefaults(has func(string) bool, prefix string) {
	setDefault(has, prefix+"period", &l.Period, defaultPeriod)
	setDefault(has, prefix+"requests_per_second", &l.RequestsPerSecond, defaultRequestsPerSec)
	setDefault(has, prefix+"tokens_per_second", &l.TokensPerSecond, defaultTokensPerSec)
	setDefault(has, prefix+"max_output_tokens", &l.MaxOutputTokens, defaultMaxOutputTokens)
	setDefault(has, prefix+"concurrent", &l.Concurrent, defaultConcurrent)
}

// setDefault sets a field to its default if the files do not set it.
func setDefault[T any](has func(string) bool, field string, value *T, def T) {
	if !has(field) {
		*value = def
	}
}
