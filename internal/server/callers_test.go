package server

import (
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/daemon"
)

// A caller closes its sending half while it waits, which ends its request. Without an outcome, the response must be
// broken off: net/http would otherwise complete it as an empty success.
func TestARequestWithoutAnOutcomeGetsNoCompleteResponse(t *testing.T) {
	d, err := daemon.New(daemon.Settings{
		Name: "entry-1", DataCentre: "kochi-a", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
	}, nil, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	callers := httptest.NewServer(Callers(d)) // nothing processes the requests: d does not serve
	defer callers.Close()
	for _, request := range []string{
		"GET /v1/entries HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 28\r\n\r\n{\"model\":\"m\",\"prompt\":\"any\"}",
		"POST /v1/services/desk/book HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
	} {
		c, err := net.Dial("tcp", callers.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := fmt.Fprint(c, request); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond) // until the request waits
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		if raw, _ := io.ReadAll(c); len(raw) > 0 {
			t.Errorf("%.25q: the caller received %q, want a closed connection and no bytes", request, raw)
		}
	}
}
