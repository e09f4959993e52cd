// Package client is the Go client for callers of mulberrylug. It requests the
// addresses of entries, caches them, connects to one of them, resumes
// interrupted streams without losing or repeating a token, honours Retry-After
// and returns typed outcomes.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"mulberrylug.example/mulberrylug/internal/response"
)

// Outcome is the way in which a request ended.
type Outcome string

// Outcomes.
const (
	// Done: the complete response was delivered.
	Done Outcome = "done"
	// NotRun: the request did not run and will not run.
	NotRun Outcome = "not_run"
	// Partial: the response ended early.
	Partial Outcome = "partial"
	// Unknown: the request may have run.
	Unknown Outcome = "unknown"
)

// ErrNoEntry is returned when the client has no address to send a request to:
// no instance has listed any entries, and Options.Seeds is empty.
var ErrNoEntry = errors.New("no entry address: no entries are known and no seeds are set")

// Problem is the error for a request that was refused or whose outcome is not
// Done.
type Problem struct {
	Outcome Outcome
	// Status is the HTTP status of the response. It is 0 if there was no
	// response or if the problem was the last event of a stream.
	Status int
	// Reason, Step and Peer explain the outcome: a code for the cause, the
	// step in which the request ended and the address or the name of the other
	// side of that step.
	Reason    string
	Step      string
	Peer      string
	RequestID string
	// Detail explains how to correct an invalid request.
	Detail string
	// RetryAfter is the time to wait before a retry; 0 means that a retry
	// would not help.
	RetryAfter time.Duration
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s: %s at step %s (peer %q, request %s, retry after %s)",
		p.Outcome, p.Reason, p.Step, p.Peer, p.RequestID, p.RetryAfter)
}

// Options configure a client.
type Options struct {
	// Seeds are caller addresses (host:port) of any instances. The client
	// requests the list of entries from them at first and when none of the
	// entries that it knows responds.
	Seeds []string
	// APIKey authenticates the organisation.
	APIKey string
	// Retries is the maximum number of retries of a request that did not run.
	// Each follows after the RetryAfter of the refusal. Default 0.
	Retries int
}

const (
	// dialTimeout limits the time to connect to an entry.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout limits the time without data on a stream. Entries send a
	// keep-alive every second.
	idleTimeout = 4 * time.Second
	// maxHead and maxBody limit the head and the body of a response in bytes, streams aside. Instances forward
	// answers of at most 1 MB.
	maxHead = 64 << 10
	maxBody = 2 << 20
	// entriesTimeout limits one request for the list of entries.
	entriesTimeout = time.Second
)

// Client sends requests to entries. It is safe for concurrent use.
type Client struct {
	opts Options
	http *http.Client

	// mu guards the fields below.
	mu sync.Mutex
	// entries is the last list of entries received. It is used as it is until
	// entriesExpireAt and then fetched again.
	entries         []string
	entriesExpireAt time.Time
	// refreshing is true while one request fetches the list of entries.
	refreshing bool
	// avoidUntil maps the address of an instance that failed to the time until
	// which other instances are preferred.
	avoidUntil map[string]time.Time
}

// New returns a client.
func New(o Options) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second}
	return &Client{
		opts: o, avoidUntil: map[string]time.Time{},
		// Each request uses a new connection. A pooled connection may no
		// longer deliver anything, and net/http resends a request on its own
		// when a pooled connection turns out to be closed.
		http: &http.Client{Transport: response.NewTransport(&http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHead})},
	}
}

// pickEntry returns the address for the next request. It chooses at random
// among the known entries that have not failed recently. If all of them have,
// it returns the one that failed the longest time ago. Seeds are used only
// while no entries are known.
func (c *Client) pickEntry(ctx context.Context) (string, error) {
	c.refresh(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if good := c.available(c.entries, now); len(good) > 0 {
		return good[rand.IntN(len(good))], nil
	}
	if len(c.entries) > 0 {
		return c.leastRecentlyFailed(c.entries), nil
	}
	if good := c.available(c.opts.Seeds, now); len(good) > 0 {
		return good[rand.IntN(len(good))], nil
	}
	if len(c.opts.Seeds) == 0 {
		return "", ErrNoEntry
	}
	return c.leastRecentlyFailed(c.opts.Seeds), nil
}

// leastRecentlyFailed returns the address in list that failed the longest time
// ago. If all known entries have failed recently, one of them is still a better
// choice than a seed that the last list of entries omitted. Such a seed is
// likely to be dead, and a request whose connection breaks there has to be
// reported as one that may have run.
func (c *Client) leastRecentlyFailed(list []string) string {
	return slices.MinFunc(list, func(a, b string) int { return c.avoidUntil[a].Compare(c.avoidUntil[b]) })
}

// available returns the addresses in list that are not being avoided at now.
// The caller holds c.mu.
func (c *Client) available(list []string, now time.Time) []string {
	var out []string
	for _, a := range list {
		if now.After(c.avoidUntil[a]) {
			out = append(out, a)
		}
	}
	return out
}

// avoid makes the client prefer other instances for 2 s after a failure at
// address.
func (c *Client) avoid(address string) {
	const avoidFor = 2 * time.Second
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[address] = time.Now().Add(avoidFor)
}

// refresh fetches the list of entries once the cached list has expired or all
// cached entries have failed recently. Only one request at a time fetches; the
// others continue with the cached list, so that an instance that does not
// respond delays only the fetching request.
func (c *Client) refresh(ctx context.Context) {
	c.mu.Lock()
	now := time.Now()
	fresh := !now.After(c.entriesExpireAt) && len(c.available(c.entries, now)) > 0
	if c.refreshing || fresh {
		c.mu.Unlock()
		return
	}
	c.refreshing = true
	sources := append(c.available(c.entries, now), c.opts.Seeds...)
	c.mu.Unlock()
	list, ttl := c.fetchEntriesFromAny(ctx, sources)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshing = false
	if len(list) > 0 {
		c.entries, c.entriesExpireAt = list, now.Add(ttl)
	}
}

// fetchEntriesFromAny returns the first list of entries that one of the
// addresses, tried in order, returns, and the time to cache it. The list is
// empty if all of them fail.
func (c *Client) fetchEntriesFromAny(ctx context.Context, addresses []string) ([]string, time.Duration) {
	for _, a := range addresses {
		list, ttl, err := c.fetchEntries(ctx, a)
		if err == nil && len(list) > 0 {
			return list, ttl
		}
	}
	return nil, 0
}

// authorize adds the API key, which identifies the organisation.
func (c *Client) authorize(req *http.Request) {
	req.Header.Set("Authorization", "Bearer "+c.opts.APIKey)
}

// fetchEntries requests the list of entries from one instance. It returns their
// addresses and the time to cache them.
func (c *Client) fetchEntries(ctx context.Context, address string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries", nil)
	if err != nil {
		return nil, 0, fmt.Errorf("get entries from %s: %w", address, err)
	}
	c.authorize(req) // the entries depend on the regions that the organisation is allowed
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, fmt.Errorf("get entries from %s: %w", address, err)
	}
	defer resp.Body.Close()
	var list struct {
		Addresses   []string `json:"addresses"`
		KeepSeconds float64  `json:"keep_seconds"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxBody)).Decode(&list); err != nil {
		return nil, 0, fmt.Errorf("get entries from %s: decode response: %w", address, err)
	}
	return list.Addresses, time.Duration(list.KeepSeconds * float64(time.Second)), nil
}

// wireProblem is the JSON form in which instances send a refusal or the last
// event of a stream.
type wireProblem struct {
	Outcome    Outcome `json:"outcome"`
	Reason     string  `json:"reason"`
	Step       string  `json:"step"`
	Peer       string  `json:"peer"`
	RequestID  string  `json:"request_id"`
	RetryAfter float64 `json:"retry_after_seconds"`
	Detail     string  `json:"detail"`
}

func (w wireProblem) problem(status int) *Problem {
	return &Problem{
		Outcome: w.Outcome, Status: status, Reason: w.Reason, Step: w.Step, Peer: w.Peer, Detail: w.Detail,
		RequestID: w.RequestID, RetryAfter: time.Duration(w.RetryAfter * float64(time.Second)),
	}
}

// readProblem decodes a response that reports a problem.
func readProblem(resp *http.Response) *Problem {
	var w wireProblem
	if json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxBody)).Decode(&w) != nil || w.Outcome == "" {
		// Without a complete body the outcome is unknown, for example because
		// the connection broke while the body was being sent.
		return &Problem{Outcome: Unknown, Status: resp.StatusCode, Reason: "unreadable_answer", Step: "read"}
	}
	return w.problem(resp.StatusCode)
}

// lostOutcome returns the outcome of a request that failed with err before a
// response arrived. The request has certainly not run only if no connection was
// established.
func lostOutcome(err error) Outcome {
	if isDialError(err) {
		return NotRun
	}
	return Unknown
}

// pause waits for d, or returns the context's error if ctx ends first.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
