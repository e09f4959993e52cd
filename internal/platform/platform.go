// Package platform holds the ports to the platform's services and their HTTP
// adapters. The ports are narrow, so that another adapter is quickly written.
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
)

// timeout bounds every call to the platform; past it the outcome is unknown.
const timeout = 1500 * time.Millisecond

// Table is the transactional table service.
type Table interface {
	// Commit never fails: no answer is the status Unknown.
	Commit(ctx context.Context, tx table.Tx) table.Result
	// Read returns a row for each key, absent ones with version 0.
	Read(ctx context.Context, keys []string) ([]table.Row, error)
}

// Scanner reads rows of the table in the order of their keys: at most limit rows
// whose key starts with prefix and comes after the given one.
type Scanner interface {
	Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
}

// Objects is the object store. Objects are immutable, named by their hash.
type Objects interface {
	Get(ctx context.Context, name string) ([]byte, error)
	Put(ctx context.Context, name string, data []byte) error
}

// Instances is the platform's lagging list of live and leaving instances.
type Instances interface {
	List(ctx context.Context) ([]membership.Member, error)
	// Announce makes a process known to the platform and keeps it listed.
	Announce(ctx context.Context, m membership.Member) error
}

// Weights is the rate-limited store of model weights.
type Weights interface {
	// Fetch asks for a turn to load weights; it returns how long to wait
	// for the turn, 0 if it has come.
	Fetch(ctx context.Context, model, version, upstream string) (time.Duration, error)
}

// Client is the HTTP adapter for all four ports.
type Client struct {
	base string
	http *http.Client
	list listCache
}

// NewClient returns an adapter for the platform at a base URL.
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{
		Timeout: timeout,
		Transport: &http.Transport{
			DialContext: conn.Dialer().DialContext, MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second,
		},
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

// ScanRequest is the body of a scan.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// Get implements Objects.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	return c.bytes(ctx, http.MethodGet, "/objects/"+name, nil)
}

// Put implements Objects.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	_, err := c.bytes(ctx, http.MethodPut, "/objects/"+name, data)
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
			return fmt.Errorf("platform %s: encode: %w", path, err)
		}
	}
	raw, err := c.bytes(ctx, method, path, body)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return fmt.Errorf("platform %s: decode: %w", path, err)
	}
	return nil
}

func (c *Client) bytes(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("platform %s: %w", path, err)
	}
	// A write that is sent twice by the library could conflict with itself;
	// the core handles the unknown outcome, so nothing is retried here.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("platform %s at %s: %w", path, c.base, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("platform %s at %s: read: %w", path, c.base, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("platform %s at %s: status %d", path, c.base, resp.StatusCode)
	}
	return raw, nil
}
