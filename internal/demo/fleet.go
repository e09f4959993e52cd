// Package demo starts a complete deployment on loopback TCP inside one process,
// sends a mix of generations and bookings through the public client, and compares
// the results that the callers got with the records of the stand-ins.
package demo

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/apply"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/membership"
	"mulberrylug.example/mulberrylug/internal/daemon"
	platformclient "mulberrylug.example/mulberrylug/internal/platform"
	"mulberrylug.example/mulberrylug/internal/server"
	"mulberrylug.example/mulberrylug/internal/standin"
	"mulberrylug.example/mulberrylug/internal/standin/engine"
	"mulberrylug.example/mulberrylug/internal/standin/platform"
	"mulberrylug.example/mulberrylug/internal/standin/relay"
	"mulberrylug.example/mulberrylug/internal/standin/service"
)

const (
	loopback = "127.0.0.1:0"
	// announceInterval is the interval at which stand-ins announce to the platform that
	// they are alive.
	announceInterval = 500 * time.Millisecond
	// readyTimeout is the maximum time until all instances of a new fleet are ready.
	readyTimeout = 10 * time.Second
)

// Fleet is a complete deployment in one process.
type Fleet struct {
	Platform  *platform.Platform
	Engines   []*Engine
	Services  []*Service
	Instances []*Instance

	platformServer *standin.Server
	client         *platformclient.Client
	cancel         context.CancelFunc
	ctx            context.Context
	wg             sync.WaitGroup
	log            hclog.Logger
	relays         bool
}

// Engine is a stand-in engine with its server.
type Engine struct {
	*engine.Engine
	Server *standin.Server
	Name   string
	// Link is the relay through which the instances reach the engine; nil if the fleet
	// has no relays.
	Link *relay.Relay
}

// Service is a stand-in for one upstream of a plain service, with its server.
type Service struct {
	*service.Service
	Server *standin.Server
	Name   string
}

// Instance is one running instance.
type Instance struct {
	*daemon.Daemon
	Name string
	// Link is the relay through which callers reach the instance; nil if the fleet has
	// no relays.
	Link   *relay.Relay
	cancel context.CancelFunc
	// ended is closed when the instance has stopped.
	ended chan struct{}
}

// FleetOptions sets the size and the setup of a fleet.
type FleetOptions struct {
	Instances int
	Engines   int
	Services  int
	// Engine holds the settings of all engines; each gets its own Name and OnCrash.
	Engine engine.Settings
	// Relays puts a relay in front of each engine and each instance, so that their
	// connections can be broken off and silenced.
	Relays bool
	// Log receives the instances' log. Nil discards it.
	Log hclog.Logger
	// Configuration replaces the demo's configuration, if it is not nil.
	Configuration []config.File
}

// StartFleet starts the stand-ins and the instances, applies the configuration and waits
// until each instance serves.
func StartFleet(ctx context.Context, o FleetOptions) (*Fleet, error) {
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{Platform: platform.New(), ctx: ctx, cancel: cancel, log: o.Log, relays: o.Relays}
	if err := f.start(o); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(o FleetOptions) (err error) {
	if f.platformServer, err = standin.Start(loopback, f.Platform); err != nil {
		return err
	}
	f.client = platformclient.NewClient("http://" + f.platformServer.Address())
	for n := range o.Engines {
		if err := f.addEngine(fmt.Sprintf("engine-%d", n+1), o.Engine); err != nil {
			return err
		}
	}
	for n := range o.Services {
		if err := f.addService(fmt.Sprintf("desk-%d", n+1)); err != nil {
			return err
		}
	}
	files := o.Configuration
	if files == nil {
		files = []config.File{{Name: "demo.yaml", Data: []byte(Configuration(o))}}
	}
	req := apply.Request{Files: files, Operator: "demo", ApplyID: "demo-1", Base: -1}
	if _, err := apply.Apply(f.ctx, f.client, req); err != nil {
		return fmt.Errorf("apply demo configuration: %w", err)
	}
	for n := range o.Instances {
		if err := f.AddInstance(fmt.Sprintf("entry-%d", n+1)); err != nil {
			return err
		}
	}
	return f.waitReady()
}

// AddInstance starts another instance. It does not wait until the instance is ready.
func (f *Fleet) AddInstance(name string) error {
	inst := &Instance{Name: name, ended: make(chan struct{})}
	var linkErr error
	advertise := daemon.Advertise(func(listened string) string {
		inst.Link, linkErr = f.relay(listened)
		return inst.address(listened)
	})
	d, err := daemon.New(daemon.Settings{
		Name: name, DataCentre: "kochi-a", CallerAddress: loopback, PeerAddress: loopback,
		OperatorAddress: loopback, Platform: "http://" + f.platformServer.Address(),
	}, f.client, f.log, advertise)
	if err := errors.Join(err, linkErr); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(f.ctx)
	inst.Daemon, inst.cancel = d, cancel
	f.Instances = append(f.Instances, inst)
	f.wg.Go(func() {
		defer close(inst.ended)
		if err := d.Serve(ctx, server.Callers(d), server.Operators(d, f.client)); err != nil {
			f.log.Error("instance ended", "name", name, "error", err)
		}
	})
	return nil
}

// relay starts a relay to an address if the fleet has relays. Otherwise it returns nil.
func (f *Fleet) relay(target string) (*relay.Relay, error) {
	if !f.relays {
		return nil, nil
	}
	return relay.Start(target)
}

// address returns the address at which callers reach the instance, given the address on
// which it listens.
func (i *Instance) address(listened string) string {
	if i.Link != nil {
		return i.Link.Address()
	}
	return listened
}

// Kill stops an instance without an orderly shutdown, as far as possible within one process,
// and waits until the instance has stopped.
func (i *Instance) Kill() {
	i.Daemon.Kill()
	i.cancel()
	<-i.ended
}

func (f *Fleet) addEngine(name string, s engine.Settings) error {
	e := &Engine{Name: name}
	s.Name = name
	s.OnCrash = func() { go e.Crash(time.Second) }
	e.Engine = engine.New(s)
	srv, err := standin.Start(loopback, e.Handler())
	if err != nil {
		return err
	}
	e.Server = srv
	if e.Link, err = f.relay(srv.Address()); err != nil {
		return err
	}
	address := srv.Address()
	if e.Link != nil {
		address = e.Link.Address()
	}
	f.Engines = append(f.Engines, e)
	f.wg.Go(func() { e.Run(f.ctx.Done()) })
	f.announce(name, "assistant", address, e.Leaving)
	return nil
}

// Crash closes the engine's server, drops its memory and starts the server again after the
// duration down.
func (e *Engine) Crash(down time.Duration) {
	e.Server.Close()
	e.Reboot()
	time.Sleep(down)
	_ = e.Server.Reopen() // if another process has taken the port, the engine stays down
}

func (f *Fleet) addService(name string) error {
	s := &Service{Service: service.New(name, 32), Name: name}
	srv, err := standin.Start(loopback, s.Handler())
	if err != nil {
		return err
	}
	s.Server = srv
	f.Services = append(f.Services, s)
	f.announce(name, "order-desk", srv.Address(), s.Leaving)
	return nil
}

// announce announces an upstream to the platform at an interval until the fleet stops.
func (f *Fleet) announce(name, role, address string, leaving func() bool) {
	f.wg.Go(func() {
		standin.Every(f.ctx, announceInterval, func() {
			m := membership.Member{Name: name, Role: role, DataCentre: "kochi-a", Address: address, State: membership.Live}
			if leaving() {
				m.State = membership.Leaving
			}
			_ = f.client.Announce(f.ctx, m) // repeated after announceInterval
		})
	})
}

// Store returns the fleet's client of the platform.
func (f *Fleet) Store() *platformclient.Client { return f.client }

// Seeds returns the addresses of all instances for callers.
func (f *Fleet) Seeds() []string {
	var out []string
	for _, i := range f.Instances {
		out = append(out, i.address(i.CallerAddress()))
	}
	return out
}

// waitReady waits until each instance has a configuration and sees all instances.
func (f *Fleet) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, i := range f.Instances {
		for {
			st, err := i.Status(f.ctx)
			if err != nil {
				return err
			}
			if st.ConfigNumber > 0 && st.Instances == len(f.Instances) {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("instance %s was not ready within %s: %+v", i.Name, readyTimeout, st)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// Stop stops the instances and the stand-ins.
func (f *Fleet) Stop() {
	f.cancel()
	for _, e := range f.Engines {
		e.Server.Close()
	}
	for _, s := range f.Services {
		s.Server.Close()
	}
	f.wg.Wait()
	f.closeLinks()
	if f.platformServer != nil {
		f.platformServer.Close()
	}
}

func (f *Fleet) closeLinks() {
	for _, e := range f.Engines {
		if e.Link != nil {
			e.Link.Close()
		}
	}
	for _, i := range f.Instances {
		if i.Link != nil {
			i.Link.Close()
		}
	}
}
