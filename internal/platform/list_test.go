package platform_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"

	"mulberrylug.example/mulberrylug/internal/core/membership"
	"mulberrylug.example/mulberrylug/internal/platform"
	standin "mulberrylug.example/mulberrylug/internal/standin/platform"
)

// countingListener counts the bytes that the server sends on accepted connections.
type countingListener struct {
	net.Listener
	sent atomic.Int64
}

// countingConn adds the bytes written to a connection to sent.
type countingConn struct {
	net.Conn
	sent *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{Conn: conn, sent: &l.sent}, err
}

func (c countingConn) Write(b []byte) (int, error) {
	c.sent.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// Every instance reads the instance list every second. Reading an unchanged list must take few
// bytes, and a change must be visible at the next read.
func TestUnchangedInstanceListIsNotSentAgain(t *testing.T) {
	srv := httptest.NewUnstartedServer(http.Handler(standin.New()))
	counted := &countingListener{Listener: srv.Listener}
	srv.Listener = counted
	srv.Start()
	defer srv.Close()
	ctx := context.Background()
	announcer, reader := platform.NewClient(srv.URL), platform.NewClient(srv.URL)
	for n := range 1260 {
		m := membership.Member{
			Name: fmt.Sprintf("instance-%d", n), Role: membership.RoleEntry, DataCentre: "dc-a", State: membership.Live,
			Address: "127.100.100.100:7001", PeerAddress: "127.100.100.100:7002",
		}
		if err := announcer.Announce(ctx, m); err != nil {
			t.Fatal(err)
		}
	}
	read := func() ([]membership.Member, int64) {
		t.Helper()
		before := counted.sent.Load()
		list, err := reader.List(ctx)
		if err != nil {
			t.Fatal(err)
		}
		return list, counted.sent.Load() - before
	}
	first, firstBytes := read()
	second, secondBytes := read()
	t.Logf("members=%d full_bytes=%d unchanged_bytes=%d", len(first), firstBytes, secondBytes)
	if len(first) != 1260 || !slices.Equal(first, second) || secondBytes > 512 {
		t.Errorf("unchanged list: first read %d members, second read %d members in %d bytes; want 1260 and the same list in at most 512 bytes", len(first), len(second), secondBytes)
	}
	leaving := first[0]
	leaving.State = membership.Leaving
	if err := announcer.Announce(ctx, leaving); err != nil {
		t.Fatal(err)
	}
	if third, _ := read(); third[0].State != membership.Leaving {
		t.Errorf("first member after its change = %+v, want state leaving", third[0])
	}
}
