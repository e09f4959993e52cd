package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/daemon"
	"mulberrylug.example/mulberrylug/internal/hosted"
	"mulberrylug.example/mulberrylug/internal/lifecycle"
	internalplatform "mulberrylug.example/mulberrylug/internal/platform"
	"mulberrylug.example/mulberrylug/internal/server"
	"mulberrylug.example/mulberrylug/platform"
)

// serveCmd runs one instance. The fields metricsPort, without and ways apply only
// on a hosting platform.
type serveCmd struct {
	signals     *signals
	settings    string
	metricsPort int
	without     string
	ways        string
}

func (*serveCmd) Name() string     { return "serve" }
func (*serveCmd) Synopsis() string { return "run one instance" }
func (*serveCmd) Usage() string {
	return `serve -settings FILE:
  Run one instance until it is drained or interrupted. An interrupt drains the
  instance: it is removed from the lists of entries and stops once none of its
  requests is running. A second interrupt stops it at once. SIGTERM and SIGHUP
  are the same as an interrupt.

  On a hosting platform that names a settings file in the environment, that file
  is used; omit -settings there. SIGHUP reads it again at any time, and a second
  interrupt has no effect.

`
}

func (c *serveCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "settings.yaml", "settings file")
	f.IntVar(&c.metricsPort, "metrics-port", 0, "port of the metrics on a hosting platform; 0 serves none")
	f.StringVar(&c.without, "without", "", "on a hosting platform: mechanisms to disable for comparison, comma-separated")
	f.StringVar(&c.ways, "ways", "", "on a hosting platform: ways of decisions other than the default, as decision=way, comma-separated")
}

func (c *serveCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := noArguments("serve", f); err != nil {
		return fail(exitUsage, err)
	}
	if path := platform.SettingsPath(); path != "" {
		return c.serveHosted(ctx, path)
	}
	data, err := os.ReadFile(c.settings)
	if err != nil {
		return fail(exitUsage, fmt.Errorf("serve: -settings must name a settings file: %w", err))
	}
	s, err := daemon.ParseSettings(c.settings, data)
	if err != nil {
		return fail(exitUsage, err)
	}
	log, flush := newLogger(os.Stderr, s.LogLevel)
	defer flush()
	p := internalplatform.NewClient(s.Platform)
	d, err := daemon.New(s, p, log.With("instance", s.Name))
	if err != nil {
		return fail(exitFailed, err)
	}
	running, stop := context.WithCancel(ctx)
	defer stop()
	c.signals.follow(lifecycle.Policy{Drains: true, SecondStops: true}, effects{drain: d.Drain, stop: stop})
	defer c.signals.ended()
	if !c.signals.started() {
		return exitOK
	}
	if err := d.Serve(running, server.Callers(d), server.Operators(d, p)); err != nil {
		return fail(exitFailed, err)
	}
	return exitOK
}

// settingsPollInterval is the interval between checks whether the settings file
// has changed. The platform may change the file without sending a signal.
const settingsPollInterval = 2 * time.Second

// serveHosted runs an instance on a hosting platform, with the settings file at
// path.
func (c *serveCmd) serveHosted(ctx context.Context, path string) subcommands.ExitStatus {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return fail(exitUsage, err)
	}
	s.MetricsPort = c.metricsPort
	if c.without != "" {
		if s.Without, err = mechanism.Parse(strings.Split(c.without, ",")); err != nil {
			return fail(exitUsage, fmt.Errorf("serve: -without: %w", err))
		}
	}
	if c.ways != "" {
		if s.Ways, err = mechanism.ParseWays(strings.Split(c.ways, ",")); err != nil {
			return fail(exitUsage, fmt.Errorf("serve: -ways: %w", err))
		}
	}
	log, flush := newLogger(os.Stdout, "info")
	defer flush()
	store := platform.NewStore(s.StoreAddress)
	r := hosted.New(s, platform.Wire{}, store, log)
	store.Called = func(purpose string, took time.Duration) {
		r.Metrics().Count("store_calls_total", purpose)
		r.Metrics().Observe("store_call_milliseconds", purpose, took)
	}
	running, stop := context.WithCancel(ctx)
	defer stop()
	reload := make(chan struct{}, 1)
	c.signals.follow(lifecycle.Policy{Drains: true, Reloads: true}, effects{
		drain: r.Drain, stop: stop,
		reload: func() {
			select {
			case reload <- struct{}{}:
			default: // a reload is due already
			}
		},
		note: func(s os.Signal, state lifecycle.State, a lifecycle.Action) {
			log.Info("signal", "signal", s, "state", state, "action", a)
		},
	})
	defer c.signals.ended()
	r.OnListening = c.signals.started
	go followSettings(reload, path, r, log)
	if err := r.Serve(running); err != nil && running.Err() == nil {
		return fail(exitFailed, err)
	}
	return exitOK
}

// followSettings reloads the settings when reload receives and when the file has changed, until the
// process ends. If the file is invalid, the previous settings stay in force.
func followSettings(reload <-chan struct{}, path string, r *hosted.Instance, log hclog.Logger) {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	last := modTime(path)
	for {
		select {
		case <-reload:
		case <-t.C:
			if modTime(path).Equal(last) {
				continue
			}
		}
		last = modTime(path)
		s, err := platform.LoadSettings(path)
		if err != nil {
			log.Warn("reload_failed", "step", "settings", "error", err)
			continue
		}
		r.Reload(s)
	}
}

// modTime returns the modification time of a file, or the zero time if it can't
// be determined.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
