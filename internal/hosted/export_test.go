package hosted

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/core/forward"
)

// SetDial replaces how an instance connects to upstreams. It must be called before Serve.
func (i *Instance) SetDial(d conn.DialFunc) { i.paths.direct = d }

// CloseAttempt closes the connection of the attempt in progress of a request and reports whether there was one.
func (i *Instance) CloseAttempt(id string) bool {
	x := i.server.findExchange(id)
	if x == nil {
		return false
	}
	var a *forward.Attempt
	i.server.decide(func(_ time.Time, _ *forward.Gate) { a = x.call.Current() })
	if a == nil {
		return false
	}
	x.closeConn(a)
	return true
}
