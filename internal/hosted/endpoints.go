package hosted

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/thejerf/suture/v4"

	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/core/fleet"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/mechanism"
)

// callersListener is the name of the callers' listener.
const callersListener = "callers"

// listener is an HTTP listener to be opened.
type listener struct {
	name    string
	address string
	handler http.Handler
}

// listeners returns the HTTP listeners of the instance.
func (i *Instance) listeners() []listener {
	out := []listener{
		{callersListener, i.settings.CallerAddress, conn.ResetIncomplete(i.server)},
		{"readiness", i.settings.ReadyAddress, restrictTo(i.wire.IsReady, i.handleReady)},
		{"directory", i.settings.DirectoryAddress, restrictTo(i.wire.IsDirectory, i.handleDirectory)},
	}
	if i.settings.MetricsPort > 0 {
		address := net.JoinHostPort(i.settings.IP, strconv.Itoa(i.settings.MetricsPort))
		out = append(out, listener{"metrics", address, i.metrics})
	}
	return out
}

// handleReady responds to the platform's readiness check.
func (i *Instance) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !i.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready reports whether the instance can serve: it is not draining, has received a
// configuration, the cordons and a list of upstreams, and may accept keys.
func (i *Instance) ready() (ok bool) {
	i.server.decide(func(now time.Time, g *forward.Gate) {
		ok = !i.server.leaving && g.Table() != nil && g.Cordons().Known() && g.Roster().Received() && g.KeysGood(now)
	})
	return ok
}

// handleDirectory returns the addresses of instances that a caller may connect to. Every
// instance serves every route, so that the response depends only on the caller's location and
// on the regions allowed for the host that its request names.
func (i *Instance) handleDirectory(w http.ResponseWriter, req *http.Request) {
	location, host := i.wire.DirectoryRequest(req)
	i.server.decide(func(_ time.Time, g *forward.Gate) {
		if g.Table() != nil {
			location.Regions = g.Table().RegionsOf(host)
		}
	})
	if !i.settings.Ways.Has(mechanism.DirectoryMixed) {
		location.Caller = ""
	}
	addresses := i.addresses(location)
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := i.wire.WriteDirectory(w, addresses, directoryTTL); err != nil {
		i.log.Debug("directory_answer_lost", "error", err)
	}
}

// addresses returns the addresses in the directory response for a location.
func (i *Instance) addresses(location fleet.Place) []string {
	var out []string
	ready, leaving, reads := i.state()
	i.peers.with(func(now time.Time, v *fleet.Fleet) {
		v.SetSelf(now, ready, leaving, reads)
		out = v.Addresses(location, i.settings.MaxEntries)
	})
	return out
}

// httpService serves HTTP on a listener until the context ends.
type httpService struct {
	name     string
	listener net.Listener
	server   *http.Server
}

// Serve implements suture.Service.
func (h *httpService) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = h.server.Close() }) // the process ends, so an error has no consequence
	defer stop()
	err := h.server.Serve(retryingListener{h.listener})
	if errors.Is(err, http.ErrServerClosed) {
		return suture.ErrDoNotRestart
	}
	return fmt.Errorf("serve %s on %s: %w", h.name, h.listener.Addr(), err)
}

func (h *httpService) String() string { return h.name }

// retryingListener keeps the HTTP server accepting after an error of the kernel, for example for lack of memory:
// it would close the listener for good, while the instance counts as ready.
type retryingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l retryingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return nil, temporaryError{err}
	}
	return c, err
}

// temporaryError is an error of Accept after which the HTTP server waits and accepts again.
type temporaryError struct{ error }

// Timeout implements net.Error.
func (temporaryError) Timeout() bool { return false }

// Temporary implements net.Error.
func (temporaryError) Temporary() bool { return true }

// Unwrap returns the error of the kernel.
func (e temporaryError) Unwrap() error { return e.error }
