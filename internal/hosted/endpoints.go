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

	"mulberrylug.example/mulberrylug/internal/core/fleet"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/mechanism"
)

// callersListener is the name of the callers' listener.
const callersListener = "callers"

type listener struct {
	what    string
	address string
	handler http.Handler
}

func (i *Instance) listeners() []listener {
	out := []listener{
		{callersListener, i.settings.CallerAddress, i.server},
		{"readiness", i.settings.ReadyAddress, only(i.wire.IsReady, i.answerReady)},
		{"directory", i.settings.DirectoryAddress, only(i.wire.IsDirectory, i.answerDirectory)},
	}
	if i.settings.MetricsPort > 0 {
		address := net.JoinHostPort(i.settings.IP, strconv.Itoa(i.settings.MetricsPort))
		out = append(out, listener{"metrics", address, i.metrics})
	}
	return out
}

// answerReady answers the platform's readiness check.
func (i *Instance) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !i.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready reports whether the instance can serve: it has a configuration and the upstreams, and
// keys may be accepted.
func (i *Instance) ready() (ok bool) {
	i.server.decide(func(now time.Time, g *forward.Gate) {
		ok = !i.server.leaving && g.Table() != nil && g.Cordons().Known() && g.Roster().Known() && g.KeysGood(now)
	})
	return ok
}

// answerDirectory tells a caller where to connect. Every instance serves every route, so the
// answer depends only on the caller's location and on the regions allowed for its host.
func (i *Instance) answerDirectory(w http.ResponseWriter, req *http.Request) {
	near, host := i.wire.Caller(req)
	i.server.decide(func(_ time.Time, g *forward.Gate) {
		if g.Table() != nil {
			near.Regions = g.Table().RegionsOf(host)
		}
	})
	if !i.settings.Ways.Has(mechanism.DirectoryMixed) {
		near.Caller = ""
	}
	addresses := i.addresses(near)
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := i.wire.Addresses(w, addresses, entryTTL); err != nil {
		i.log.Debug("directory_answer_lost", "error", err)
	}
}

func (i *Instance) addresses(near fleet.Place) []string {
	var out []string
	ready, leaving, reads := i.state()
	i.peers.with(func(now time.Time, v *fleet.Fleet) {
		v.SetSelf(now, ready, leaving, reads)
		out = v.Addresses(near, i.settings.MaxEntries)
	})
	return out
}

// httpService serves HTTP on a listener until the context ends.
type httpService struct {
	what     string
	listener net.Listener
	server   *http.Server
}

// Serve implements suture.Service.
func (h *httpService) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = h.server.Close() }) // the process ends; nothing is left to do
	defer stop()
	err := h.server.Serve(h.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return suture.ErrDoNotRestart
	}
	return fmt.Errorf("serve %s on %s: %w", h.what, h.listener.Addr(), err)
}

func (h *httpService) String() string { return h.what }
