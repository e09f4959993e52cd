// Package statement decodes the values in which an upstream states something about itself. The names
// of the fields differ between protocols.
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

// maxPauseSeconds is the longest pause that fits a time.Duration with a margin for sums.
const maxPauseSeconds = 1e9

// RateLimit decodes the rate of requests per second that an upstream accepts from all instances
// together, a decimal number.
func RateLimit(text string) (ratelimit.Limit, error) {
	rate, err := number(text)
	if err != nil {
		return ratelimit.Limit{}, fmt.Errorf("rate limit: %w", err)
	}
	return ratelimit.Of(rate), nil
}

// Pause decodes how many seconds an upstream wants nothing from an instance, a decimal number.
func Pause(text string) (time.Duration, error) {
	seconds, err := number(text)
	if err != nil {
		return 0, fmt.Errorf("pause: %w", err)
	}
	return time.Duration(min(seconds, maxPauseSeconds) * float64(time.Second)), nil
}

// Leaving decodes whether an upstream leaves: 1, or 0 or nothing if it does not.
func Leaving(text string) (bool, error) {
	switch text = strings.TrimSpace(text); text {
	case "1":
		return true, nil
	case "", "0":
		return false, nil
	default:
		return false, fmt.Errorf("leaving: %q is neither 0 nor 1", text)
	}
}

// number decodes a decimal number from 0 on. Numbers that are too large become infinite.
func number(text string) (float64, error) {
	n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, err
	}
	if math.IsNaN(n) || n < 0 {
		return 0, fmt.Errorf("%q is no number from 0 on", text)
	}
	return n, nil
}
