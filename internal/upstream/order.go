package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"mulberrylug.example/mulberrylug/internal/core"
)

// orderBody is the request body of an order to an engine.
type orderBody struct {
	Fence int64  `json:"fence"`
	Kind  string `json:"kind"`
	Value string `json:"value"`
}

// orderKindVersion is the kind of an order to load a model version.
const orderKindVersion = "version"

// Order sends an order and reports whether the upstream refused its fencing number. Any other
// failure is not reported here: it shows in the upstream's load reports, which the home compares
// with the version that it ordered.
func (c *Client) Order(ctx context.Context, o core.SendOrder) {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	refused, err := c.sendOrder(ctx, o)
	if err == nil {
		c.sink(core.OrderResult{Upstream: o.Upstream, Fence: o.Fence, Refused: refused})
	}
}

// sendOrder sends an order. refused is true if the upstream refused the fencing number.
func (c *Client) sendOrder(ctx context.Context, o core.SendOrder) (refused bool, err error) {
	body, err := json.Marshal(orderBody{Fence: o.Fence, Kind: orderKindVersion, Value: o.Version})
	if err != nil {
		return false, fmt.Errorf("encode order for %s: %w", o.Upstream, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Address+"/orders", bytes.NewReader(body))
	if err != nil {
		return false, fmt.Errorf("make request for order to %s: %w", o.Upstream, err)
	}
	req.GetBody = nil
	// The process may have been paused since the core issued the order. An order
	// sent after the lease's end could arrive after an order from the next holder of the lease.
	if !time.Now().Before(o.SendBefore) {
		return false, fmt.Errorf("order for %s: lease expired before the order was sent", o.Upstream)
	}
	resp, err := c.unpooled.Do(req)
	if err != nil {
		return false, fmt.Errorf("order for %s: %w", o.Upstream, err)
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusConflict, nil
}
