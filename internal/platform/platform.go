// Package platform defines the interfaces to the platform's services and implements them over
// HTTP. The interfaces are narrow, so that another implementation is quick to write.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/core/membership"
	"mulberrylug.example/mulberrylug/internal/core/table"
	"mulberrylug.example/mulberrylug/internal/response"
)

// callTimeout is the timeout of every call to the platform. After a timeout it is unknown
// whether the call took effect.
const callTimeout = 1500 * time.Millisecond

// Table is the platform's transactional store of rows.
type Table interface {
	// Commit returns no error: without a response from the table, the result's status is
	// Unknown.
	Commit(ctx context.Context, tx table.Tx) table.Result
	// Read returns one row for each key. The row of a key that does not exist has version 0.
	Read(ctx context.Context, keys []string) ([]table.Row, error)
}

// Scanner reads rows of the table in the order of their keys. Scan returns at most limit rows
// whose key starts with prefix and is greater than after.
type Scanner interface {
	Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
}

// Objects is the platform's object store. Objects are immutable and named by their hash.
type Objects interface {
	Get(ctx context.Context, name string) ([]byte, error)
	Put(ctx context.Context, name string, data []byte) error
}

// Instances is the platform's list of live and leaving instances. The list lags behind changes.
type Instances interface {
	// List returns the list. If entries of it can't be decoded, it returns the others with an EntriesError.
	List(ctx context.Context) ([]membership.Member, error)
	// Announce adds an instance to the list, or updates it. It must be repeated to keep the
	// instance listed.
	Announce(ctx context.Context, m membership.Member) error
}

// Weights is the platform's rate-limited store of model weights.
type Weights interface {
	// Fetch requests a turn to load a model version's weights. It returns how long to wait for
	// the turn, 0 if the turn has come.
	Fetch(ctx context.Context, model, version, upstream string) (time.Duration, error)
}

// Client implements the interfaces of this package over HTTP.
type Client struct {
	base string
	http *http.Client
	list listCache
}

const (
	// maxResponse is the maximum size of the body of a response in bytes, except for objects: a list of the
	// instances and upstreams of the target size takes 0.3 MB, a scan of the table 1 MB.
	maxResponse = 8 << 20
	// maxObject is the maximum size of an object in bytes. Operators may apply a configuration of that size.
	maxObject = 64 << 20
)

// NewClient returns a client for the platform with the given base URL.
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{
		Timeout: callTimeout,
		Transport: response.NewTransport(&http.Transport{
			DialContext: conn.Dialer().DialContext, MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second, MaxResponseHeaderBytes: conn.MaxResponseHead,
		}),
	}}
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, tx table.Tx) table.Result {
	var res table.Result
	if err := c.call(ctx, http.MethodPost, "/table/commit", tx, &res); err != nil {
		return table.Result{Status: table.Unknown}
	}
	return res
}

// Read implements Table.
func (c *Client) Read(ctx context.Context, keys []string) ([]table.Row, error) {
	var rows []table.Row
	err := c.call(ctx, http.MethodPost, "/table/read", keys, &rows)
	return rows, err
}

// Scan implements Scanner.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	var rows []table.Row
	in := ScanRequest{Prefix: prefix, After: after, Limit: limit}
	err := c.call(ctx, http.MethodPost, "/table/scan", in, &rows)
	return rows, err
}

// ScanRequest is the request body of a scan.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// Get implements Objects.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	return c.bytes(ctx, http.MethodGet, "/objects/"+name, nil, maxObject)
}

// Put implements Objects.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	_, err := c.bytes(ctx, http.MethodPut, "/objects/"+name, data, maxResponse)
	return err
}

// Announce implements Instances.
func (c *Client) Announce(ctx context.Context, m membership.Member) error {
	return c.call(ctx, http.MethodPost, "/instances", m, nil)
}

// Fetch implements Weights.
func (c *Client) Fetch(ctx context.Context, model, version, upstream string) (time.Duration, error) {
	var wait time.Duration
	in := map[string]string{"model": model, "version": version, "upstream": upstream}
	err := c.call(ctx, http.MethodPost, "/weights", in, &wait)
	return wait, err
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return fmt.Errorf("platform %s: encode request: %w", path, err)
		}
	}
	raw, err := c.bytes(ctx, method, path, body, maxResponse)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return fmt.Errorf("platform %s: decode response: %w", path, err)
	}
	return nil
}

// bytes makes a call and returns the body of its response, which has at most most bytes.
func (c *Client) bytes(ctx context.Context, method, path string, body []byte, most int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("platform %s: make request: %w", path, err)
	}
	// Without GetBody the HTTP library can't send a call twice. A write sent twice
	// could conflict with itself. Nothing is retried here: the core handles unknown outcomes.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("platform %s at %s: %w", path, c.base, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, most))
	if err != nil {
		return nil, fmt.Errorf("platform %s at %s: read response: %w", path, c.base, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("platform %s at %s: status %d", path, c.base, resp.StatusCode)
	}
	return raw, nil
}
