package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/status"
	"mulberrylug.example/mulberrylug/internal/core/suspect"
)

// Reasons of refusals at the entry.
const (
	ReasonNotReady       = "not_ready"
	ReasonUnconfirmed    = "config_unconfirmed"
	ReasonLeaving        = "leaving"
	ReasonBadKey         = "bad_key"
	ReasonUnknownModel   = "unknown_model"
	ReasonUnknownService = "unknown_service"
	ReasonForbidden      = "service_not_allowed"
	ReasonMaxTokens      = "max_tokens"
	ReasonNoKey          = "idempotency_key_missing"
	ReasonBadHandle      = "bad_handle"
	ReasonPoison         = "poison"
)

// retryAfterNotReady is the Retry-After while there is no configuration.
const retryAfterNotReady = time.Second

// onRequest accepts or refuses a request.
func (i *Instance) onRequest(now time.Time, e CallerRequest) {
	r := &request{CallerRequest: e, version: i.version, started: now}
	i.requests[r.ID] = r
	if f := i.admit(now, r); f != nil {
		i.refuse(now, r, *f)
		return
	}
	i.recordDecision(now, r.ID, "accepted", "organisation", r.org.Name, "service", r.service.Name, "prompt", r.Prompt, "max", r.MaxTokens)
	i.startAttempt(now, r)
}

// admit checks a request against the configuration. It returns nil if the request is accepted.
func (i *Instance) admit(now time.Time, r *request) *Finish {
	if reason := i.notReadyReason(now); reason != "" {
		r.findOrgAndService()
		return &Finish{Status: status.ServiceUnavailable, Reason: reason, Step: "admit", RetryAfter: retryAfterNotReady}
	}
	if f := r.authenticate(); f != nil {
		return f
	}
	if f := r.findService(); f != nil {
		return f
	}
	if f := r.checkLimits(); f != nil {
		return f
	}
	if i.suspects.Verdict(now, r.Fingerprint) == suspect.Refused {
		wait := i.suspects.RefusedUntil(r.Fingerprint).Sub(now)
		return &Finish{Status: status.UnprocessableEntity, Reason: ReasonPoison, Step: "admit", RetryAfter: wait}
	}
	if r.NotRepeatable && i.tableHealth.down() {
		return &Finish{Status: status.ServiceUnavailable, Reason: ReasonStore, Step: "admit", Peer: "table", RetryAfter: retryAfterStore}
	}
	return nil
}

// findOrgAndService sets the organisation and service of a call that may not be repeated, as far
// as they are known. A repeat of a booking's key then gets the key's outcome even from an instance
// that accepts no new requests.
func (r *request) findOrgAndService() {
	if r.NotRepeatable && r.authenticate() == nil {
		r.findService()
	}
}

func (r *request) authenticate() *Finish {
	if r.version == nil {
		return &Finish{Status: status.ServiceUnavailable, Reason: ReasonNotReady, Step: "admit", RetryAfter: retryAfterNotReady}
	}
	r.org = r.version.OrganisationByKey(r.APIKey)
	if r.org == nil {
		return &Finish{Status: status.Unauthorized, Reason: ReasonBadKey, Step: "authenticate"}
	}
	return nil
}

func (r *request) findService() *Finish {
	if r.Service != "" {
		r.service = r.version.Service(r.Service)
		if r.service == nil || r.service.Kind != config.KindPlain {
			return &Finish{Status: status.NotFound, Reason: ReasonUnknownService, Step: "admit"}
		}
	} else {
		r.service = r.version.ServiceForModel(r.Model)
		if r.service == nil {
			return &Finish{Status: status.NotFound, Reason: ReasonUnknownModel, Step: "admit"}
		}
	}
	if !r.org.Allows(r.service.Name) {
		return &Finish{Status: status.Forbidden, Reason: ReasonForbidden, Step: "admit"}
	}
	return nil
}

func (r *request) checkLimits() *Finish {
	maxTokens := r.org.Limits.MaxOutputTokens
	if r.MaxTokens < 0 || r.MaxTokens > maxTokens {
		return &Finish{Status: status.BadRequest, Reason: ReasonMaxTokens, Step: "admit"}
	}
	if r.MaxTokens == 0 {
		r.MaxTokens = maxTokens
	}
	if r.NotRepeatable && r.IdempotencyKey == "" {
		return &Finish{Status: status.BadRequest, Reason: ReasonNoKey, Step: "admit"}
	}
	return nil
}
