package hosted

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/thejerf/suture/v4"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/core/fleet"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/memory"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/pool"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/watch"
	"mulberrylug.example/mulberrylug/internal/metrics"
	"mulberrylug.example/mulberrylug/internal/peer"
	"mulberrylug.example/mulberrylug/internal/task"
)

const (
	// heapShare is the fraction of the machine's memory set as the soft limit of the heap. The
	// rest is for stacks, socket buffers and the runtime.
	heapShare = 0.6
	// revocationMargin is subtracted from the time within which a revocation must take effect. It
	// covers the time between the acceptance of a key and the start of the request at an
	// upstream.
	revocationMargin = 800 * time.Millisecond
	// headerTimeout and maxHeaderBytes limit the head of a request before a configuration, with
	// its narrower limits, is known.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// maxControlHeaderBytes limits the heads of requests to the other listeners, whose memory is not accounted for.
	maxControlHeaderBytes = 4 << 10
	// idleTimeout is the time after which callers' idle connections are closed. It is far above
	// the time for which configurations allow a connection to be reused, so that no request is
	// sent on a connection that is being closed.
	idleTimeout = 3 * time.Minute
	// idleCheckInterval is the interval between checks of idle upstream connections.
	// tickInterval is the interval between checks for due heartbeats and expired entries of
	// the list.
	idleCheckInterval = time.Second
	tickInterval      = 100 * time.Millisecond
	// directoryTTL is the lifetime of a directory response. Callers lose up to that time on a dead
	// instance.
	directoryTTL = time.Second
	// drainMargin is the part of the grace period that is left for sending the last answers and for the exit, on
	// a core of which the process has only a share.
	drainMargin = 600 * time.Millisecond
	// lingerTTLs is the number of directory lifetimes for which a leaving instance accepts
	// requests: some callers use a directory response for three times its lifetime.
	lingerTTLs = 3
)

// Instance is one running instance.
type Instance struct {
	settings Settings
	wire     Wire
	log      hclog.Logger
	metrics  *metrics.Metrics
	server   *server
	follower *follower
	peers    *peers
	relay    *relay
	poller   *poller
	homes    *homes
	permits  *permitHome
	paths    *paths
	tunnels  *tunnels
	leaving  leavingPeers
	// traffic counts the bytes of callers', upstreams' and other instances' connections. connections
	// returns the share of callers' connections that is in use.
	traffic     *conn.Traffic
	heap        *heapUse
	connections func() float64
	// callers serves the callers' listener.
	callers *http.Server
	// usageMu guards usage, the measured use of this instance's resources.
	usageMu sync.Mutex
	usage   *fleet.Usage
	// OnListening, if not nil, is called when the listeners are open, before the first request is accepted.
	// If it returns false, Serve ends. Drain must not be called earlier.
	OnListening func() bool
	// drained is closed when draining is complete.
	drained chan struct{}
}

// New prepares an instance. Serve runs it.
func New(s Settings, wire Wire, store Store, log hclog.Logger) *Instance {
	m := metrics.NewMetrics()
	o := options(s)
	timing := timingFor(s, o.KeysGoodFor)
	conns := conn.NewPool()
	conns.Traffic = &conn.Traffic{}
	o.Seed = rand.Uint64()
	gate := forward.New(o)
	conns.Dialled = func() { m.Count("upstream_connections_total", "dialled") }
	srv := &server{
		wire: wire, conns: conns, memory: newMemoryAccount(s.MemoryBytes, m, log), readAhead: !s.Without.Has(mechanism.ReadAhead), metrics: m, log: log,
		gate: gate, running: map[string]*exchange{}, permits: map[string]chan msg.PermitResponse{},
	}
	conns.Memory = purposeMemory{srv.memory, memory.Heads}
	srv.paths, srv.origins = newPaths(srv, m, log), newOrigins(srv, m, log)
	m.Set("cordons", srv.cordonMetric())
	m.Set("upstream_rate_limits", srv.rateLimitMetric())
	i := &Instance{
		settings: s, wire: wire, log: log, metrics: m, server: srv,
		drained: make(chan struct{}),
		traffic: conns.Traffic, heap: newHeapUse(s.MemoryBytes), connections: func() float64 { return 0 },
		usage: fleet.NewUsage(s.Machine()),
	}
	conns.Keeps = func(c net.Conn) bool { return !i.leaving.carry(c) }
	i.paths = srv.paths
	i.paths.tunnelPeers, i.paths.open = i.tunnelPeers, i.openTunnel
	srv.origins.send, srv.origins.holders, srv.origins.witnesses = i.sendAny, i.originHolders, i.originWitnesses
	i.tunnels = newTunnels(srv, i.paths, callerConnections(s.MaxDescriptors))
	m.Set("instance_load_ratio", i.loadMetric())
	m.Set("directory_weights", i.weightsMetric())
	i.peers = &peers{
		store: store, metrics: m, log: log, state: i.state, onPeerLost: srv.announceRunning, statements: srv.statements, evidence: srv.evidence,
		heartbeatsSentAt: map[string]time.Time{}, informed: map[string]string{},
		seeds: s.Seeds, seedAddress: s.SeedAddress, joinResponses: make(chan msg.JoinResponse, 16), joinDone: make(chan struct{}),
		fleet: fleet.New(boottime.Now(), i.ownHeartbeat(), s.Regions, s.Without),
	}
	i.relay = newRelay(srv, timing)
	i.relay.send, i.relay.understandsNegativeAges = i.peers.sendTo, i.peers.understandsNegativeAges
	i.relay.mayBeSource = func() bool { return !i.peers.hasJoined() || i.follower.isSource() }
	i.follower = &follower{
		store: store, server: srv, metrics: m, log: log, onLeaving: func() { i.homes.sync() }, isHome: func() bool { return len(i.homes.poolNames()) > 0 },
		onAdopted: i.onAdopted, peers: i.peers, relay: i.relay, timing: timing, queries: watch.NewFollower(timing, rand.Int64N(1<<40)), listWanted: make(chan struct{}, 1),
		divideServices: !s.Without.Has(mechanism.Parts), regions: s.Regions,
		freshness: &freshness{metrics: m, log: log, bound: srv.configBound},
	}
	i.peers.era = i.follower.era
	m.Set("store_era", expvar.Func(func() any { return i.follower.era() }))
	i.homes = &homes{
		server: srv, metrics: m, log: log, self: s.Name, send: i.peers.sendTo, deliverLocal: i.onPeer, dataCentreOf: i.peers.dataCentreOf, without: s.Without, ways: s.Ways,
		pools: map[string]*pool.Home{}, usedAt: map[string]time.Time{},
	}
	i.permits = newPermitHome(m, log, i.sendAny)
	srv.homes = homeLink{homeOf: i.homeOf, limitHomeOf: i.limitHomeOf, understandsLoad: i.understandsLoad, understandsSoftware: i.understandsSoftware, announce: i.announce, onLeaving: i.homes.sync, send: i.sendAny, reportSilent: i.suspectHome, broadcast: i.broadcast, announceSound: i.announceSound, announceCrash: i.announceCrash}
	i.poller = &poller{follower: i.follower, responses: make(chan syncResponse, 16), reads: make(chan storeRead), wake: make(chan struct{}, 1), neededGroups: i.neededGroups}
	i.homes.onCreated = i.poller.wakeUp
	return i
}

// options converts the settings to options of the gate.
func options(s Settings) forward.Options {
	o := forward.Options{
		Name: s.Name, DataCentre: s.DataCentre, Regions: s.Regions, RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, RetryWindow: s.RetryWindow,
		Without: s.Without, ConfigGoodFor: s.ApplyWithin, DrainWithin: s.DrainWithin,
	}
	if s.StrictRevocation {
		o.KeysGoodFor = max(s.RevokeWithin-revocationMargin, time.Millisecond)
	}
	return o
}

// timingFor returns the intervals and time limits for following the store. A shorter limit on new
// configurations, on leaving upstreams or on keys shortens all of them.
func timingFor(s Settings, keysGoodFor time.Duration) watch.Timing {
	return watch.NewTiming(watch.ShortestBound(s.ApplyWithin, s.DrainWithin, keysGoodFor))
}

// Reload applies changed settings. Changes of addresses and of the name need a restart, which
// is logged.
func (i *Instance) Reload(s Settings) {
	old := i.current()
	s.MetricsPort, s.Without, s.Ways = old.MetricsPort, old.Without, old.Ways
	if reflect.DeepEqual(s, old) {
		i.log.Info("reloaded", "changed", false)
		return
	}
	i.server.decide(func(_ time.Time, g *forward.Gate) {
		g.Configure(options(s))
		i.settings.Grace, i.settings.MaxEntryTTL = s.Grace, s.MaxEntryTTL
	})
	timing := timingFor(s, options(s).KeysGoodFor)
	i.follower.setTiming(timing)
	i.relay.setTiming(timing)
	restart := s.CallerAddress != old.CallerAddress || s.ReadyAddress != old.ReadyAddress ||
		s.DirectoryAddress != old.DirectoryAddress || s.Name != old.Name || s.StoreAddress != old.StoreAddress
	i.log.Info("reloaded", "changed", true, "grace", s.Grace, "revoke_within", s.RevokeWithin,
		"retry_ratio", s.RetryRatio, "retry_slack", s.RetrySlack, "restart_needed", restart)
}

// current returns the settings in force.
func (i *Instance) current() (s Settings) {
	i.server.decide(func(time.Time, *forward.Gate) { s = i.settings })
	return s
}

// ownHeartbeat returns this instance's heartbeat.
func (i *Instance) ownHeartbeat() msg.Heartbeat {
	return msg.Heartbeat{
		Name: i.settings.Name, DataCentre: i.settings.DataCentre, CallerAddress: i.settings.CallerAddress,
		PeerAddress: net.JoinHostPort(i.settings.IP, strconv.Itoa(i.settings.PeerPort)),
		Boot:        strconv.FormatUint(uint64(rand.Uint32()), 36), Class: msg.ClassOfRelease(i.settings.Machine().Class()),
	}
}

// state returns the state of this instance that its heartbeats announce.
func (i *Instance) state() (ready, leaving, reads bool) {
	return i.ready(), i.server.isLeaving(), i.follower.reachesStore()
}

// onAdopted forwards an update that is now in force to the instances that poll this one and, if it has
// other cordons, to the homes.
func (i *Instance) onAdopted(cordoned bool) {
	i.relay.tick()
	if cordoned {
		i.homes.sync()
		i.poller.wakeUp() // this instance may need other groups of services now
	}
}

// neededGroups returns the groups of divided services that this instance needs, to choose
// upstreams itself and as a home.
func (i *Instance) neededGroups(gate *forward.Gate) []roster.Group {
	out := i.homes.groups()
	for _, g := range gate.OwnGroups() {
		if !slices.Contains(out, g) {
			out = append(out, g)
		}
	}
	return out
}

// Metrics returns the instance's counters.
func (i *Instance) Metrics() *metrics.Metrics { return i.metrics }

// Serve runs the instance until the context ends or it has drained.
func (i *Instance) Serve(ctx context.Context) error {
	outer := ctx
	ctx, cancel := context.WithCancel(context.WithoutCancel(outer))
	defer cancel()
	stop := context.AfterFunc(outer, func() {
		i.server.logUnfinished() // before the callers' connections are closed
		cancel()
	})
	defer stop()
	if i.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(i.settings.MemoryBytes)))
	}
	checkDescriptors(i.settings.MaxDescriptors, i.log)
	tree := suture.New(i.settings.Name, suture.Spec{EventHook: func(e suture.Event) {
		i.log.Warn("supervisor", "detail", e.String())
	}})
	if err := i.addListeners(ctx, tree); err != nil {
		return err
	}
	if err := i.addPeers(tree); err != nil {
		return err
	}
	for _, t := range i.tasks() {
		tree.Add(t)
	}
	if i.OnListening != nil && !i.OnListening() {
		return nil
	}
	i.log.Info("started", "name", i.settings.Name, "data_centre", i.settings.DataCentre,
		"caller_address", i.settings.CallerAddress, "store", i.settings.StoreAddress,
		"memory_bytes", i.settings.MemoryBytes, "max_descriptors", i.settings.MaxDescriptors, "without", i.settings.Without, "ways", i.settings.Ways)
	defer i.server.logUnfinished() // before the context ends, which closes the callers' connections
	ended := tree.ServeBackground(ctx)
	select {
	case <-i.drained:
		i.log.Info("stopped", "name", i.settings.Name, "open_requests", i.server.openRequests())
		return nil
	case err := <-ended:
		if errors.Is(err, context.Canceled) {
			return nil
		}
		return fmt.Errorf("instance %s: %w", i.settings.Name, err)
	}
}

// addListeners opens the HTTP listeners and adds their servers.
func (i *Instance) addListeners(ctx context.Context, tree *suture.Supervisor) error {
	for _, l := range i.listeners() {
		ln, err := conn.ListenConfig().Listen(ctx, "tcp", l.address)
		if err != nil {
			return fmt.Errorf("listen for %s on %s: %w", l.name, l.address, err)
		}
		ln = i.traffic.Listener(ln)
		server := &http.Server{
			Handler: l.handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxControlHeaderBytes, IdleTimeout: idleTimeout,
			ErrorLog: newServerLog(l.name, i.log, i.metrics),
		}
		if l.name == callersListener {
			ln = limitConnections(ln, i.settings.MaxDescriptors)
			i.connections = connectionsInUse(ln)
			ln = callerListener{Listener: ln, memory: purposeMemory{i.server.memory, memory.Heads}, onNoHeadMemory: i.server.noteNoHeadMemory}
			server.ConnContext, server.ConnState = conn.WithServerConn, trackHeads
			server.MaxHeaderBytes = maxHeaderBytes
			i.callers = server
		}
		tree.Add(&httpService{name: l.name, listener: ln, server: server})
	}
	return nil
}

// addPeers opens the listeners for other instances and adds the transport for messages.
func (i *Instance) addPeers(tree *suture.Supervisor) error {
	peers, err := peer.Listen(i.ownHeartbeat().PeerAddress, i.settings.Name, i.onPeer, i.log.Named("peer"))
	if err != nil {
		return err
	}
	if i.settings.SeedAddress != "" {
		if err := peers.ListenAlso(i.settings.SeedAddress); err != nil {
			return err
		}
	}
	peers.Traffic = i.traffic
	peers.OnDropped = func(to string, frames int) { i.metrics.Add("peer_lost_messages_total", to, int64(frames)) }
	peers.OnConnectionEnded = i.peers.linkEnded
	peers.OnQueued = i.countSent
	peers.OnTunnel = i.tunnels.serve
	peers.Memory = purposeMemory{i.server.memory, memory.Messages}
	i.peers.transport = peers
	tree.Add(peers)
	return nil
}

// updateInstances passes to the gate the live instances, the number of instances that share the
// retry budget and the load on cold upstreams, and whether no other instance is ready.
func (i *Instance) updateInstances() {
	n, alone := 1, false
	var peers []forward.Peer
	i.peers.with(func(_ time.Time, v *fleet.Fleet) {
		n, alone = v.Size(), v.Alone()
		peers = append(peers, forward.Peer{Name: i.settings.Name, DataCentre: i.settings.DataCentre})
		for _, name := range v.Live() {
			peers = append(peers, forward.Peer{Name: name, DataCentre: v.DataCentre(name)})
		}
	})
	i.server.decide(func(now time.Time, g *forward.Gate) {
		g.SetInstances(n)
		g.SetAlone(alone)
		g.SetPeers(peers)
		g.Tick(now)
	})
}

// countSent counts sent bytes by kind of message, and separately those sent to other data
// centres.
func (i *Instance) countSent(to string, kind msg.Kind, bytes int) {
	group := "peer_sent_bytes_total"
	if i.peers.dataCentreOf(to) != i.settings.DataCentre {
		group = "peer_sent_remote_bytes_total"
	}
	i.metrics.Add(group, kind.String(), int64(bytes))
}

// tasks lists the background tasks.
func (i *Instance) tasks() []task.Task {
	return []task.Task{
		{Name: "join", Run: i.peers.join},
		{Name: "sweep", Run: i.peers.sweep},
		{Name: "poller", Run: i.poller.run},
		{Name: "list", Run: i.follower.followList},
		{Name: "permits", Run: i.permits.run},
		task.Every("heartbeats", tickInterval, func(context.Context) {
			i.peers.sendDueHeartbeats()
			i.peers.sendDuePresences()
		}),
		task.Every("homes", syncInterval, func(context.Context) { i.homes.sync() }),
		task.Every("announcements", announceCheckInterval, func(context.Context) { i.server.sendDueAnnouncements() }),
		task.Every("silent streams", silenceCheckInterval, i.server.checkSilentStreams),
		task.Every("idle connections", idleCheckInterval, func(context.Context) {
			i.server.conns.Sweep()
			i.leaveTunnelsThroughLeaving()
		}),
		task.Every("stream origins", shareInterval, func(context.Context) { i.server.origins.shareUnproven() }),
		task.Every("lost paths", pathProbeInterval, i.paths.probeLost),
		task.Every("load", loadInterval, func(context.Context) {
			i.measureLoad()
			i.updateWeights()
		}),
		task.Every("ticks", tickInterval, func(context.Context) {
			i.follower.tick()
			i.relay.tick()
			i.updateInstances()
		}),
	}
}
