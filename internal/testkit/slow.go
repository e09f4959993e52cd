package testkit

import (
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Sizes in bytes of the receive buffer and of the segments of DialSlow.
const (
	slowReceiveBuffer = 8 << 10
	slowSegment       = 1400
)

// DialSlow connects to an address with a small receive buffer and the segments of a network, so that
// the server's socket takes little more than what is read, as between real machines.
func DialSlow(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			if err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, slowReceiveBuffer); err == nil {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, slowSegment)
			}
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	c, err := d.Dial("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s slowly: %w", address, err)
	}
	return c, nil
}

// throttleSteps is the number of reads per second of a throttled reader.
const throttleSteps = 50

// Throttle returns a reader of at most perSecond bytes per second.
func Throttle(r io.Reader, perSecond int) io.Reader { return &throttled{r, perSecond / throttleSteps} }

// throttled waits before each read of at most a number of bytes.
type throttled struct {
	r     io.Reader
	bytes int
}

func (s *throttled) Read(p []byte) (int, error) {
	time.Sleep(time.Second / throttleSteps)
	return s.r.Read(p[:min(len(p), s.bytes)])
}
