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
		userTimeout := time.Duration(option(t, c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)) * time.Millisecond
		idle := time.Duration(option(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)) * time.Second
		interval := time.Duration(option(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)) * time.Second
		if userTimeout < silence || userTimeout < idle+silence {
			t.Errorf("%s connection: user timeout %v, first probe after %v, interval %v; want no end within %v of the first probe", name, userTimeout, idle, interval, silence)
		}
	}
}

// option returns the value of an option of a connection's socket.
func option(t *testing.T, c net.Conn, level, name int) (value int) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, name) }); err != nil {
		t.Fatal(err)
	}
	return value
}

// Two silences of a sound upstream, one soon after the other, must not end the connection of a stream, and the next user
// of the connection must have the usual limits again: it would notice a lost connection too late.
func TestOnlyWatchedConnectionsTolerateSilences(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	p := NewPool()
	c, err := p.Get(t.Context(), ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	options := func() [2]int {
		return [2]int{option(t, c.Conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), option(t, c.Conn, unix.SOL_SOCKET, unix.SO_KEEPALIVE)}
	}
	usual := options()
	if err := Watch(c.Conn, true); err != nil {
		t.Fatal(err)
	}
	if got := options(); got[0] < 10_000 || got[1] != 0 {
		t.Errorf("user timeout %d ms, keep-alive %d for a stream; want at least 10 s and none", got[0], got[1])
	}
	if err := Watch(c.Conn, false); err != nil {
		t.Fatal(err)
	}
	if got := options(); got != usual {
		t.Errorf("options %v after the stream, want %v as before", got, usual)
	}
}
