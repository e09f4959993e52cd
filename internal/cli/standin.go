package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"

	"mulberrylug.example/mulberrylug/internal/core/membership"
	platformclient "mulberrylug.example/mulberrylug/internal/platform"
	"mulberrylug.example/mulberrylug/internal/standin"
	"mulberrylug.example/mulberrylug/internal/standin/engine"
	"mulberrylug.example/mulberrylug/internal/standin/platform"
	"mulberrylug.example/mulberrylug/internal/standin/service"
)

// standinCmd runs one stand-in. dataCentre, name and role describe the upstream
// that it announces to the platform.
type standinCmd struct {
	address, platformURL, name, role, dataCentre string
	engine                                       engine.Settings
}

func (*standinCmd) Name() string     { return "standin" }
func (*standinCmd) Synopsis() string { return "run a stand-in for an outside system" }
func (*standinCmd) Usage() string {
	return `standin [flags] platform|engine|service:
  Run a stand-in for the platform, a model engine or a plain service, for trials
  and tests. It keeps all its data in memory.

`
}

func (c *standinCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", "127.0.0.1:0", "address to listen on")
	f.StringVar(&c.platformURL, "platform", "", "base URL of the platform (engine and service)")
	f.StringVar(&c.name, "name", "", "name of the upstream (engine and service)")
	f.StringVar(&c.role, "role", "", "service of the upstream (engine and service)")
	f.StringVar(&c.dataCentre, "data-centre", "", "data centre of the upstream (engine and service)")
	f.IntVar(&c.engine.Capacity, "capacity", 0, "engine: memory in tokens; 0 for the default")
	f.IntVar(&c.engine.MaxBatch, "max-batch", 0, "engine: maximum number of concurrent generations; 0 for the default")
	f.DurationVar(&c.engine.Step, "step", 0, "engine: duration of one decode step; 0 for the default")
	f.Float64Var(&c.engine.Median, "median", 0, "engine: median output length in tokens; 0 for the defaults of -median and -sigma")
	f.Float64Var(&c.engine.Sigma, "sigma", 0, "engine: sigma of the log-normal output length; used with -median")
	f.BoolVar(&c.engine.ChecksFencing, "checks-fencing", false, "engine: refuse orders with an old fencing number")
	f.StringVar(&c.engine.CrashOn, "crash-on", "", "engine: exit when a prompt contains this text")
}

// check returns an error if the flags or the argument are invalid.
func (c *standinCmd) check(f *flag.FlagSet) error {
	if f.NArg() != 1 {
		return errors.New("standin: name one of platform, engine, service")
	}
	switch kind := f.Arg(0); {
	case kind != "platform" && kind != "engine" && kind != "service":
		return fmt.Errorf("standin: %q is none of platform, engine, service", kind)
	case kind == "platform" || c.platformURL == "":
		return nil
	case c.name == "" || c.role == "" || c.dataCentre == "":
		return fmt.Errorf("standin %s: -platform needs -name, -role and -data-centre as in the configuration", kind)
	}
	return nil
}

func (c *standinCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.check(f); err != nil {
		return fail(exitUsage, err)
	}
	var handler http.Handler
	switch kind := f.Arg(0); kind {
	case "platform":
		handler = platform.New()
	case "engine":
		c.engine.Name = c.name
		c.engine.OnCrash = func() { os.Exit(int(exitFailed)) }
		e := engine.New(c.engine)
		go e.Run(ctx.Done())
		handler = e.Handler()
	case "service":
		const maxConcurrentCalls = 32
		handler = service.New(c.name, maxConcurrentCalls).Handler()
	}
	srv, err := standin.Start(c.address, handler)
	if err != nil {
		return fail(exitFailed, err)
	}
	fmt.Printf("address=%s\n", srv.Address())
	if c.platformURL != "" {
		go c.announce(ctx, srv.Address())
	}
	<-ctx.Done()
	srv.Close()
	return exitOK
}

// announce announces the upstream at address to the platform, once a second
// until ctx ends.
func (c *standinCmd) announce(ctx context.Context, address string) {
	p := platformclient.NewClient(c.platformURL)
	m := membership.Member{
		Name: c.name, Role: c.role, DataCentre: c.dataCentre, Address: address, State: membership.Live,
	}
	standin.Every(ctx, time.Second, func() { _ = p.Announce(ctx, m) }) // a failed announcement is repeated in a second
}
