package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/daemon"
	"mulberrylug.example/mulberrylug/internal/hosted"
	internalplatform "mulberrylug.example/mulberrylug/internal/platform"
	"mulberrylug.example/mulberrylug/internal/server"
	"mulberrylug.example/mulberrylug/platform"
)

// serveCmd runs one instance. The fields metricsPort, without and ways apply only
// on a hosting platform.
type serveCmd struct {
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
  requests is running. A second interrupt stops it at once.

  On a hosting platform that names a settings file in the environment, that file
  is used; omit -settings there.

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
	running, stop := context.WithCancel(context.Background())
	defer stop()
	go drainOnSignal(ctx, d, stop)
	if err := d.Serve(running, server.Callers(d), server.Operators(d, p)); err != nil {
		return fail(exitFailed, err)
	}
	return exitOK
}

// drainOnSignal waits for the first signal, which ends the context first, and
// drains the instance. At a second signal it stops the instance.
func drainOnSignal(first context.Context, d *daemon.Daemon, stop func()) {
	<-first.Done()
	d.Drain()
	second := interrupts()
	select {
	case <-second:
		stop()
	case <-d.Exited():
	}
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
	go func() {
		<-ctx.Done()
		r.Drain()
	}()
	go followSettings(ctx, path, r, log)
	if err := r.Serve(context.Background()); err != nil {
		return fail(exitFailed, err)
	}
	return exitOK
}

// followSettings reloads the settings on SIGHUP and when the file has changed.
// If the file is invalid, the previous settings stay in force.
func followSettings(ctx context.Context, path string, r *hosted.Instance, log hclog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	last := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
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
