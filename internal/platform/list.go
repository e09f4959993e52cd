package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"mulberrylug.example/mulberrylug/internal/core/membership"
)

// listCache holds the last instance list and its entity tag (ETag). At the target size the list
// has 1,260 rows and each instance reads it every second. Sent in full each time, the list would
// take ten times the bandwidth that an instance may use for control, while it changes only a few
// hundred times a day.
type listCache struct {
	mu   sync.Mutex
	etag string
	list []membership.Member
}

// List implements Instances. The returned slice is shared and must not be changed.
func (c *Client) List(ctx context.Context) ([]membership.Member, error) {
	const path = "/instances"
	c.list.mu.Lock()
	defer c.list.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, fmt.Errorf("platform %s: make request: %w", path, err)
	}
	if c.list.etag != "" {
		req.Header.Set("If-None-Match", c.list.etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("platform %s at %s: %w", path, c.base, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxResponse))
	switch {
	case err != nil:
		return nil, fmt.Errorf("platform %s at %s: read response: %w", path, c.base, err)
	case resp.StatusCode == http.StatusNotModified && c.list.etag != "":
		return c.list.list, nil
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("platform %s at %s: status %d", path, c.base, resp.StatusCode)
	}
	list, err := decodeList(raw)
	var entries *EntriesError
	if err != nil && !errors.As(err, &entries) {
		return nil, fmt.Errorf("platform %s: decode response: %w", path, err)
	}
	c.list.etag, c.list.list = resp.Header.Get("ETag"), list
	return list, err
}

// EntriesError reports the entries of a list that can't be decoded. The other entries are valid.
type EntriesError struct {
	// Unreadable is the number of these entries, and First the error of the first one.
	Unreadable int
	First      error
}

// Error implements error.
func (e *EntriesError) Error() string {
	return fmt.Sprintf("%d entries of the instance list can't be decoded, the first one: %v", e.Unreadable, e.First)
}

// decodeList decodes the instance list entry by entry, so that an invalid entry of another program does not hide the others.
func decodeList(raw []byte) ([]membership.Member, error) {
	var entries []json.RawMessage
	if err := json.Unmarshal(raw, &entries); err != nil {
		return nil, err
	}
	list := make([]membership.Member, 0, len(entries))
	var odd EntriesError
	for _, text := range entries {
		var m membership.Member
		err := json.Unmarshal(text, &m)
		if err == nil && m.Name == "" {
			err = errors.New("entry without a name")
		}
		if err == nil {
			list = append(list, m)
			continue
		}
		if odd.Unreadable++; odd.Unreadable == 1 {
			odd.First = err
		}
	}
	if odd.Unreadable > 0 {
		return list, &odd
	}
	return list, nil
}
