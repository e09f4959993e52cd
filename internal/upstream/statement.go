package upstream

import (
	"errors"
	"net/http"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/statement"
)

// Headers in which an upstream states something about itself.
const (
	// headerRateLimit carries, in any response, the rate of requests per second that the upstream
	// accepts from all instances together.
	headerRateLimit = "X-Rate-Limit"
	// headerLeaving is "1" in the responses of an upstream that leaves.
	headerLeaving = "X-Leaving"
	// headerRetryAfter carries, in a response that rejects a request, the time in seconds for which
	// the upstream wants no new work from this instance.
	headerRetryAfter = "Retry-After"
)

// decodeStatement decodes what an upstream states about itself in the head of a response.
func decodeStatement(resp *http.Response) (e core.UpstreamStatement) {
	var limitErr, leavingErr, pauseErr error
	h := resp.Header
	if len(h.Values(headerRateLimit)) > 0 {
		e.RateLimit, limitErr = statement.RateLimit(h.Get(headerRateLimit))
		e.RateUnreadable = limitErr != nil
	}
	e.Leaving, leavingErr = statement.Leaving(h.Get(headerLeaving))
	rejects := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	if rejects && len(h.Values(headerRetryAfter)) > 0 {
		e.Pause, pauseErr = statement.Pause(h.Get(headerRetryAfter))
	}
	if err := errors.Join(limitErr, leavingErr, pauseErr); err != nil {
		e.Unreadable = err.Error()
	}
	return e
}
