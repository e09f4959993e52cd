package conn

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A sound peer that is silent for a second and a half must not lose its connections: neither those with
// unacknowledged bytes nor idle ones, whose keep-alive probes the kernel gives up at TCP_USER_TIMEOUT.
func TestASilenceOfOneAndAHalfSecondsEndsNoConnection(t *testing.T) {
	const silence = 1500 * time.Millisecond
	ln, err := ListenConfig().Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := ln.Accept(); err == nil {
			accepted <- c
		}
	}()
	dialled, err := Dialer().DialContext(t.Context(), "tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]net.Conn{"dialled": dialled, "accepted": <-accepted} {
		defer c.Close()
		option := func(level, name int) (value int) {
			raw, err := c.(*net.TCPConn).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			if err := raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, name) }); err != nil {
				t.Fatal(err)
			}
			return value
		}
		userTimeout := time.Duration(option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)) * time.Millisecond
		idle := time.Duration(option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)) * time.Second
		interval := time.Duration(option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)) * time.Second
		if userTimeout < silence || userTimeout < idle+silence {
			t.Errorf("%s connection: user timeout %v, first probe after %v, interval %v; want no end within %v of the first probe", name, userTimeout, idle, interval, silence)
		}
	}
}
