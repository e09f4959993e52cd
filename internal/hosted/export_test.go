package hosted

import "mulberrylug.example/mulberrylug/internal/conn"

// SetDial replaces how an instance connects to upstreams. It must be called before Serve.
func (i *Instance) SetDial(d conn.DialFunc) { i.paths.direct = d }
