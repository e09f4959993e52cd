package upstream

import (
	"net/http"

	"mulberrylug.example/mulberrylug/internal/core/statement"
)

// statementNames are the names of the headers in which upstreams state something about themselves.
var statementNames = statement.Names{RateLimit: headerRateLimit, Leaving: headerLeaving, Pause: headerRetryAfter}

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
func decodeStatement(resp *http.Response) statement.Statement {
	rejected := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	return statementNames.Decode(resp.Header, rejected)
}
