package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// upstreamWith starts a server that handles one connection, and a transport that opens tunnels to it.
func upstreamWith(t testing.TB, handle func(*net.TCPConn)) (via *testTransport) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		if c, err := ln.Accept(); err == nil {
			handle(c.(*net.TCPConn))
		}
	}()
	via = newTestTransport(t, "via")
	via.OnTunnel = func(_ string, m msg.TunnelRequest, end *Tunnel) {
		c, err := net.Dial("tcp", m.Address)
		if err != nil {
			_ = end.Respond(msg.TunnelDown) // the requester sees an end without a response
			return
		}
		if err := end.Respond(msg.TunnelOpen); err == nil {
			_ = end.Carry(c) // what the requester sees is checked
		}
	}
	via.address = ln.Addr().String()
	return via
}

func open(t testing.TB, via *testTransport) net.Conn {
	t.Helper()
	c, err := newTestTransport(t, "entry").OpenTunnel(t.Context(), "via", via.Address(), msg.TunnelRequest{Address: via.address, Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// A response without a length ends with its connection. The end of a tunnel must tell whether the upstream
// closed the connection, or the upstream or the instance between has broken off.
func TestTheEndOfATunnelTellsWhetherTheUpstreamClosed(t *testing.T) {
	body := strings.Repeat("0123456789", 5000)
	for _, c := range []struct {
		name  string
		end   func(upstream *net.TCPConn, via *testTransport)
		whole bool
	}{
		{"upstream closes", func(u *net.TCPConn, _ *testTransport) { u.Close() }, true},
		{"upstream resets", func(u *net.TCPConn, _ *testTransport) {
			time.Sleep(50 * time.Millisecond)
			_ = u.SetLinger(0)
			u.Close()
		}, false},
	} {
		var via *testTransport
		ready := make(chan struct{})
		via = upstreamWith(t, func(u *net.TCPConn) {
			<-ready
			_, _ = io.WriteString(u, body)
			c.end(u, via)
		})
		close(ready)
		got, err := io.ReadAll(open(t, via))
		if c.whole && (err != nil || string(got) != body) {
			t.Errorf("%s: %d of %d bytes, error %v, want all", c.name, len(got), len(body), err)
		}
		if !c.whole && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%s: error %v after %d bytes, want io.ErrUnexpectedEOF", c.name, err, len(got))
		}
	}
}

// An upstream responds to a long request before it has read it, without a length, and resets the connection while the
// instance between waits to write more. If the write takes the reset, what the instance reads looks like a connection that
// was closed in order. The tunnel must not report that: the requester can't detect otherwise that the response is
// not complete.
func TestATunnelWhoseWriteIsResetBreaksOff(t *testing.T) {
	const tries, part = 200, "a part of the body"
	complete := 0
	for range tries {
		sent := make(chan struct{})
		via := upstreamWith(t, func(u *net.TCPConn) {
			_, _ = io.WriteString(u, part) // the requester misses it
			<-sent
			_ = u.SetLinger(0) // fails only on a closed connection
			u.Close()
		})
		c := open(t, via)
		go func() {
			defer close(sent)
			_ = c.SetWriteDeadline(time.Now().Add(10 * time.Millisecond)) // fails only on a closed connection
			for err := error(nil); err == nil; {
				_, err = c.Write(make([]byte, 256<<10)) // until no buffer has room
			}
		}()
		got, err := io.ReadAll(c)
		if err == nil {
			complete++
		}
		if string(got) != part {
			t.Fatalf("received %q, error %v", got, err)
		}
		c.Close()
	}
	if complete > 0 {
		t.Errorf("%d of %d responses look complete, want none", complete, tries)
	}
}

// If the instance that a tunnel passes ends, the response must not look complete.
func TestATunnelWhoseInstanceEndsBreaksOff(t *testing.T) {
	wrote, done := make(chan struct{}), make(chan struct{})
	defer close(done)
	via := upstreamWith(t, func(u *net.TCPConn) {
		_, _ = io.WriteString(u, "part")
		close(wrote)
		<-done
	})
	var served net.Conn
	carried := make(chan struct{})
	serve := via.OnTunnel
	via.OnTunnel = func(from string, m msg.TunnelRequest, end *Tunnel) {
		served = end.conn
		close(carried)
		serve(from, m, end)
	}
	c := open(t, via)
	<-wrote
	<-carried
	buf := make([]byte, 4)
	if _, err := io.ReadFull(c, buf); err != nil {
		t.Fatal(err)
	}
	served.Close()
	if _, err := c.Read(buf); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error %v, want io.ErrUnexpectedEOF", err)
	}
}

// A caller that leaves must end the work of the upstream also behind a tunnel.
func TestClosingATunnelClosesTheConnectionToTheUpstream(t *testing.T) {
	ended := make(chan error, 1)
	via := upstreamWith(t, func(u *net.TCPConn) {
		_, err := io.Copy(io.Discard, u)
		ended <- err
	})
	c := open(t, via)
	if _, err := io.WriteString(c, "request"); err != nil {
		t.Fatal(err)
	}
	c.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the connection to the upstream is still open after 5 s")
	}
}

// A pool takes an idle tunnel whose upstream has closed the connection for what it is.
func TestAnIdleTunnelWhoseUpstreamHasClosedIsNotUsed(t *testing.T) {
	via := upstreamWith(t, func(u *net.TCPConn) { u.Close() })
	c := open(t, via)
	p := conn.NewPool()
	errDialled := errors.New("dialled")
	p.Dial = func(context.Context, string) (net.Conn, error) { return nil, errDialled }
	p.Adopt(c, "upstream")
	time.Sleep(100 * time.Millisecond)
	if _, err := p.Get(t.Context(), "upstream"); !errors.Is(err, errDialled) {
		t.Errorf("error %v, want a new connection instead of the idle one", err)
	}
}

// BenchmarkTunnelledEvent measures an event of 260 bytes that passes a tunnel: the processor time of all
// three ends.
func BenchmarkTunnelledEvent(b *testing.B) {
	event := make([]byte, 260)
	start := make(chan struct{})
	via := upstreamWith(b, func(u *net.TCPConn) {
		<-start
		for range b.N {
			if _, err := u.Write(event); err != nil {
				return
			}
		}
		u.Close()
	})
	c := open(b, via)
	b.SetBytes(int64(len(event)))
	b.ResetTimer()
	close(start)
	n, err := io.Copy(io.Discard, c)
	if err != nil || n != int64(b.N*len(event)) {
		b.Fatalf("%d bytes, error %v, want %d", n, err, b.N*len(event))
	}
}
