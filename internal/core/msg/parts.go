package msg

import "time"

// CrashEvidence is a Strike that also names parts of the request's prompt. It is sent instead of a Strike to
// instances that understand it.
type CrashEvidence struct {
	Strike Strike
	// Parts are those that other requests may share, if no answer to the request had begun soundly.
	Parts []uint64
}

// Kind implements Message.
func (CrashEvidence) Kind() Kind { return KindCrashEvidence }

// PartsSound announces that an answer was begun soundly to a request whose prompt contains parts that were
// accused of crashing upstreams.
type PartsSound struct {
	Parts []uint64
	// Age is the time since then.
	Age time.Duration
}

// Kind implements Message.
func (PartsSound) Kind() Kind { return KindPartsSound }
