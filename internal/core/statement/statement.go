// Package statement decodes what upstreams state about themselves in the heads of their responses.
package statement

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/ratelimit"
)

// Statement is what an upstream states about itself in the head of a response.
type Statement struct {
	// RateLimit is the rate of requests that the upstream accepts from all instances together.
	RateLimit ratelimit.Limit
	// RateUnreadable is set if the rate limit could not be decoded. The last one then holds on.
	RateUnreadable bool
	// Brittle is the number of requests that the upstream can turn away in a second, of all instances together,
	// without falling over; 0 if it does not state that.
	Brittle int
	// Leaving is set if the upstream states that it leaves.
	Leaving bool
	// Pause is the time for which an upstream that turned a request away wants nothing from this
	// instance; 0 if it does not ask for that.
	Pause time.Duration
	// Unreadable holds the errors of the fields that could not be decoded, for the log.
	Unreadable error
}

// Names are the names of the fields in a protocol.
type Names struct {
	// RateLimit is a decimal number of requests per second, Brittle a whole number of requests, Leaving is 1 if
	// the upstream leaves, and Pause is a decimal number of seconds.
	RateLimit, Brittle, Leaving, Pause string
}

// Header is the head of a response.
type Header interface{ Values(name string) []string }

// maxPauseSeconds is the longest pause that fits a time.Duration with a margin for sums.
const maxPauseSeconds = 1e9

// Decode decodes the head of a response. rejected is set if the response rejects the request: only
// then may it ask for a pause.
func (n Names) Decode(h Header, rejected bool) (s Statement) {
	var limitErr, brittleErr, leavingErr, pauseErr error
	if text, ok := first(h, n.RateLimit); ok {
		s.RateLimit, limitErr = rateLimit(text)
		s.RateUnreadable = limitErr != nil
	}
	if text, ok := first(h, n.Brittle); ok {
		if s.Brittle, brittleErr = strconv.Atoi(text); brittleErr != nil || s.Brittle < 0 {
			s.Brittle, brittleErr = 0, fmt.Errorf("decode brittle: %q is no number from 0 on", text)
		}
	}
	if text, ok := first(h, n.Leaving); ok {
		s.Leaving, leavingErr = leaving(text)
	}
	if text, ok := first(h, n.Pause); ok && rejected {
		s.Pause, pauseErr = pause(text)
	}
	s.Unreadable = errors.Join(limitErr, brittleErr, leavingErr, pauseErr)
	return s
}

// first returns the first value of a field.
func first(h Header, name string) (text string, ok bool) {
	values := h.Values(name)
	if len(values) == 0 {
		return "", false
	}
	return strings.TrimSpace(values[0]), true
}

func rateLimit(text string) (ratelimit.Limit, error) {
	rate, err := number(text)
	if err != nil {
		return ratelimit.Limit{}, fmt.Errorf("decode rate limit: %w", err)
	}
	return ratelimit.Of(rate), nil
}

func pause(text string) (time.Duration, error) {
	seconds, err := number(text)
	if err != nil {
		return 0, fmt.Errorf("decode pause: %w", err)
	}
	return time.Duration(min(seconds, maxPauseSeconds) * float64(time.Second)), nil
}

func leaving(text string) (bool, error) {
	switch text {
	case "1":
		return true, nil
	case "", "0":
		return false, nil
	default:
		return false, fmt.Errorf("decode leaving: %q is neither 0 nor 1", text)
	}
}

// number decodes a decimal number from 0 on. Numbers that are too large become infinite.
func number(text string) (float64, error) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, err
	}
	if math.IsNaN(n) || n < 0 {
		return 0, fmt.Errorf("%q is no number from 0 on", text)
	}
	return n, nil
}
