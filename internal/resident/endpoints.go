package resident

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
)

// callersListener names the listener for callers.
const callersListener = "callers"

type listener struct {
	what    string
	address string
	handler http.Handler
}

func (r *Resident) listeners() []listener {
	out := []listener{
		{callersListener, r.settings.CallerAddress, r.server},
		{"readiness", r.settings.ReadyAddress, only(r.wire.IsReady, r.answerReady)},
		{"directory", r.settings.DirectoryAddress, only(r.wire.IsDirectory, r.answerDirectory)},
	}
	if r.settings.MetricsPort > 0 {
		address := net.JoinHostPort(r.settings.IP, strconv.Itoa(r.settings.MetricsPort))
		out = append(out, listener{"metrics", address, r.metrics})
	}
	return out
}

// answerReady tells the platform whether callers may come.
func (r *Resident) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !r.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready reports whether the instance can serve: it knows a configuration and the
// upstreams, and keys may be accepted.
func (r *Resident) ready() (ok bool) {
	r.server.decide(func(now time.Time, g *forward.Gate) {
		ok = !r.server.leaving && g.Table() != nil && g.Roster().Known() && g.KeysGood(now)
	})
	return ok
}

// answerDirectory tells a caller where to connect. Each instance serves every
// route, so that only the caller's place matters.
func (r *Resident) answerDirectory(w http.ResponseWriter, req *http.Request) {
	addresses := r.addresses(r.wire.Caller(req))
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := r.wire.Addresses(w, addresses, entryTTL); err != nil {
		r.log.Debug("directory_answer_lost", "error", err)
	}
}

func (r *Resident) addresses(near fleet.Place) []string {
	var out []string
	ready, leaving, reads := r.state()
	r.fellows.with(func(_ time.Time, v *fleet.Fleet) {
		v.SetSelf(ready, leaving, reads)
		out = v.Addresses(near, r.settings.MaxEntries)
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
