package hosted

import (
	"errors"
	"time"

	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/core/forward"
)

// errStopped reports that a stream ended with its connection after its generation was told to stop.
var errStopped = errors.New("the generation was stopped")

// confirmEnd returns an error if the end of a stream's connection does not prove that the stream is complete.
func (x *exchange) confirmEnd() error {
	if x.framing != conn.FramedByClose {
		return nil
	}
	// An engine that stops a generation closes its stream. Whether it was still running, only the response to the
	// call tells.
	x.awaitMove()
	stopped := false
	x.server.decide(func(time.Time, *forward.Gate) { stopped = x.call.Redirected() })
	if stopped {
		return errStopped
	}
	return nil
}
