package msg

import "time"

// TunnelRequest asks the receiver to connect the sender to an upstream that the sender does not reach
// itself. It is the only message on its connection. After a response with TunnelOpen the connection
// carries the bytes of the connection to the upstream.
type TunnelRequest struct {
	// Upstream is the id of the upstream, "" if the sender does not know it. Address is its address
	// according to the sender.
	Upstream string
	Address  string
	// Timeout limits the connection attempt.
	Timeout time.Duration
}

// TunnelResponse is the response to a TunnelRequest.
type TunnelResponse struct{ Status TunnelStatus }

// TunnelStatus is the result of a TunnelRequest.
type TunnelStatus string

// Results of tunnel requests.
const (
	// TunnelOpen: the receiver is connected to the upstream.
	TunnelOpen TunnelStatus = "open"
	// TunnelDown: the upstream refused the connection or did not respond, and the receiver reaches
	// others.
	TunnelDown TunnelStatus = "down"
	// TunnelNoPath: the receiver does not reach the upstream, and that may be due to its own path.
	TunnelNoPath TunnelStatus = "no_path"
	// TunnelNoRoom: the receiver has no room for another tunnel, or is leaving.
	TunnelNoRoom TunnelStatus = "no_room"
	// TunnelUnknown: the receiver's list has no such upstream.
	TunnelUnknown TunnelStatus = "unknown"
)

// Kind implements Message.
func (TunnelRequest) Kind() Kind { return KindTunnelRequest }

// Kind implements Message.
func (TunnelResponse) Kind() Kind { return KindTunnelResponse }
