package msg

import "time"

// StreamOrigin states which software began a stream that its caller may take up at any instance.
type StreamOrigin struct {
	// Organisation and Request identify the stream; Request is the id of the request that brought its first
	// event.
	Organisation string
	Request      string
	Service      string
	// Software is the software version, Upstream and Born the run of the upstream.
	Software string
	Upstream string
	Born     int64
	// Age is the time since the stream began, Keep the time for which its caller may still take it up.
	Age  time.Duration
	Keep time.Duration
}

// StreamOrigins gives records to the receiver.
type StreamOrigins struct {
	// Number identifies the message, to which the receiver responds with OriginsStored; 0 if no response is
	// wanted.
	Number int64
	List   []StreamOrigin
}

// OriginsStored is the response to StreamOrigins.
type OriginsStored struct{ Number int64 }

// OriginRequest asks which software began a stream.
type OriginRequest struct {
	Number       int64
	Organisation string
	Request      string
	// Service is the only service of the stream's route, and Window the time before now in which the stream may
	// have begun; "" if there are several services.
	Service string
	Window  time.Duration
}

// OriginResponse is the response to an OriginRequest.
type OriginResponse struct {
	Number int64
	// Origin is nil if the sender has no record.
	Origin *StreamOrigin
	// Sole is the software version of all upstreams of the service in the window, "" if there are several or
	// if the sender does not know that.
	Sole string
}

// Kind implements Message.
func (StreamOrigins) Kind() Kind { return KindStreamOrigins }

// Kind implements Message.
func (OriginsStored) Kind() Kind { return KindOriginsStored }

// Kind implements Message.
func (OriginRequest) Kind() Kind { return KindOriginRequest }

// Kind implements Message.
func (OriginResponse) Kind() Kind { return KindOriginResponse }
