package msg

import "time"

// Message kinds for the configuration and for draining instances. They have their own range of
// numbers.
const (
	KindConfigRequest Kind = iota + 48
	KindConfigObjectRequest
	KindConfigObjectPart
	KindLeaving
)

// ConfigVersion announces which version of the configuration the sender has. It is a response to a
// ConfigRequest or sent without a request.
type ConfigVersion struct {
	// Number is 0 if the sender has no configuration.
	Number int64
	Hash   string
	// Cordoned lists the data centres that are cordoned as of that version.
	Cordoned []string
	// ConfirmedAge is the time, as of sending, since the sender last confirmed that no newer
	// version was in force.
	ConfirmedAge time.Duration
	// Request is the number of the ConfigRequest to which this message is the response; 0 if the
	// message was sent without a request.
	Request int64
	// TableDown is set while the sender receives no response from the table, nor from any instance
	// that receives responses from the table.
	TableDown bool
}

// ConfigRequest requests a ConfigVersion.
type ConfigRequest struct {
	// Number is the number of the request. The response repeats it.
	Number int64
	// Address is the requester's peer address, which the instance list may not contain yet.
	Address string
}

// ConfigObjectRequest requests a part of a published configuration, starting at Offset in bytes.
type ConfigObjectRequest struct {
	Hash   string
	Offset int
	// Address is the requester's peer address.
	Address string
}

// ConfigObjectPart is a part, starting at Offset, of a published configuration of Size bytes.
type ConfigObjectPart struct {
	Hash   string
	Offset int
	Size   int
	Data   []byte
}

// Leaving announces that the sender drains: its address must no longer be given to callers, and it
// must no longer be chosen as a home. The message is repeated until the sender exits.
type Leaving struct{}

// Kind implements Message.
func (ConfigVersion) Kind() Kind { return KindConfigVersion }

// Kind implements Message.
func (ConfigRequest) Kind() Kind { return KindConfigRequest }

// Kind implements Message.
func (ConfigObjectRequest) Kind() Kind { return KindConfigObjectRequest }

// Kind implements Message.
func (ConfigObjectPart) Kind() Kind { return KindConfigObjectPart }

// Kind implements Message.
func (Leaving) Kind() Kind { return KindLeaving }
