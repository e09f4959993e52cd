package msg

import "time"

// Message kinds for the configuration and for draining instances. They have their own range of
// numbers.
const (
	KindConfigAsk Kind = iota + 48
	KindConfigObjectAsk
	KindConfigObjectPart
	KindLeaving
)

// ConfigTold announces which version of the configuration the sender has. It is a response to a
// ConfigAsk or sent without a request.
type ConfigTold struct {
	// Number is 0 if the sender has no configuration.
	Number int64
	Hash   string
	// Cordoned lists the data centres that are cordoned as of that version.
	Cordoned []string
	// Confirmed is the time, as of sending, since the sender last confirmed that no newer
	// version was in force.
	Confirmed time.Duration
	// Ask is the number of the ConfigAsk that this message answers; 0 if it was sent without a
	// request.
	Ask int64
	// Down is set while the sender receives no response from the table, nor from an instance
	// that does.
	Down bool
}

// ConfigAsk requests a ConfigTold.
type ConfigAsk struct {
	// Ask is the number of the request. The response repeats it.
	Ask int64
	// Address is the requester's peer address, which the instance list may not contain yet.
	Address string
}

// ConfigObjectAsk requests a part of a published configuration, starting at Offset in bytes.
type ConfigObjectAsk struct {
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

// Leaving announces that the sender drains: it must no longer be named to callers or chosen as
// a home. The message is repeated until the sender exits.
type Leaving struct{}

// Kind implements Message.
func (ConfigTold) Kind() Kind { return KindConfigTold }

// Kind implements Message.
func (ConfigAsk) Kind() Kind { return KindConfigAsk }

// Kind implements Message.
func (ConfigObjectAsk) Kind() Kind { return KindConfigObjectAsk }

// Kind implements Message.
func (ConfigObjectPart) Kind() Kind { return KindConfigObjectPart }

// Kind implements Message.
func (Leaving) Kind() Kind { return KindLeaving }
