package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"

	"github.com/google/subcommands"

	"mulberrylug.example/mulberrylug/internal/apply"
	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/platform"
)

// cordonCmd cordons a data centre, or lifts its cordon.
type cordonCmd struct {
	target
	// lift is true for the command uncordon.
	lift bool
	// operatorName and id are stored with the change.
	operatorName, id string
}

func (c *cordonCmd) Name() string {
	if c.lift {
		return "uncordon"
	}
	return "cordon"
}

func (c *cordonCmd) Synopsis() string {
	if c.lift {
		return "lift the cordon of a data centre"
	}
	return "stop placing new work on a data centre's upstreams"
}

func (c *cordonCmd) Usage() string {
	return c.Name() + ` (-platform URL | -operator-address HOST:PORT) [-operator NAME] [-id ID] DATA-CENTRE:
  Cordon a data centre, or lift its cordon. The upstreams of a cordoned data centre
  get no new work; requests that are running there continue. The change is in force
  everywhere within two seconds. To complete a change that was interrupted, repeat the
  command with the id that it printed. Exit codes: 0 done, 1 nothing was changed,
  2 invalid command line, 3 other operators' changes came first, 6 the outcome is
  not known.

`
}

func (c *cordonCmd) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.operatorName, "operator", os.Getenv("USER"), "operator's name, recorded with the change")
	f.StringVar(&c.id, "id", "", "id of this change; default a random one")
}

func (c *cordonCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return fail(exitUsage, fmt.Errorf("%s: name one data centre", c.Name()))
	}
	if err := c.check(c.Name()); err != nil {
		return fail(exitUsage, err)
	}
	dataCentre := f.Arg(0)
	if status := c.checkDataCentre(ctx, dataCentre); status != exitOK {
		return status
	}
	if c.id == "" {
		c.id = fmt.Sprintf("%016x", rand.Uint64())
	}
	fmt.Printf("if this is cut off, repeat it with -id %s\n", c.id)
	p, err := c.change(ctx, apply.CordonRequest{DataCentre: dataCentre, Lift: c.lift, Operator: c.operatorName, ApplyID: c.id})
	if err != nil {
		return failApply(err)
	}
	fmt.Printf("version %d: cordoned: %s\n", p.Number, listOrNone(p.Cordoned))
	return exitOK
}

// checkDataCentre fails if the configuration in force has no data centre of this name. Any name
// is accepted when a cordon is lifted, since a cordon may outlive its data centre.
func (c *cordonCmd) checkDataCentre(ctx context.Context, name string) subcommands.ExitStatus {
	if c.lift {
		return exitOK
	}
	_, cfg, err := c.currentConfig(ctx)
	if err != nil {
		return fail(exitFailed, fmt.Errorf("cordon: nothing was changed: %w", err))
	}
	for _, dcs := range cfg.Deployment.Regions {
		for _, dc := range dcs {
			if dc == name {
				return exitOK
			}
		}
	}
	return fail(exitUsage, fmt.Errorf("cordon: the configuration in force has no data centre %q", name))
}

// change makes the change through the platform or an instance, whichever is set.
func (c *cordonCmd) change(ctx context.Context, req apply.CordonRequest) (core.ConfigPointer, error) {
	if c.operatorAddress != "" {
		return apply.CordonThrough(ctx, c.operatorAddress, req)
	}
	return apply.Cordon(ctx, platform.NewClient(c.platformURL), req)
}

// listOrNone joins the list with commas, or returns "none" if it is empty.
func listOrNone(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}

// cordonsCmd lists the cordoned data centres.
type cordonsCmd struct{ target }

func (*cordonsCmd) Name() string     { return "cordons" }
func (*cordonsCmd) Synopsis() string { return "list the cordoned data centres" }
func (*cordonsCmd) Usage() string {
	return `cordons (-platform URL | -operator-address HOST:PORT):
  Print the cordoned data centres: with -platform those in the table, with
  -operator-address those in the view of an instance, and the age of that view.
  Exit codes: 0 printed, 1 no response, 2 invalid command line.

`
}

func (c *cordonsCmd) SetFlags(f *flag.FlagSet) { c.setFlags(f) }

func (c *cordonsCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := errors.Join(noArguments("cordons", f), c.check("cordons")); err != nil {
		return fail(exitUsage, err)
	}
	if c.operatorAddress != "" {
		body, err := callOperator(ctx, http.MethodGet, c.operatorAddress, "/v1/cordons")
		if err != nil {
			return fail(exitFailed, err)
		}
		fmt.Print(string(body))
		return exitOK
	}
	p, err := apply.InForceNow(ctx, platform.NewClient(c.platformURL))
	if err != nil {
		return fail(exitFailed, fmt.Errorf("cordons: %w", err))
	}
	fmt.Printf("version %d: cordoned: %s\n", p.Number, listOrNone(p.Cordoned))
	return exitOK
}
