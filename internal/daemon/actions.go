package daemon

import (
	"context"
	"time"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/config"
)

// tableTimeout is the timeout of a table call. After a timeout it is unknown whether the call
// took effect.
const tableTimeout = time.Second

// do starts an action of the core. It never blocks the loop.
func (d *Daemon) do(ctx context.Context, a core.Action) {
	switch a := a.(type) {
	case core.Send:
		if err := d.peers.Send(a.To, a.Address, a.Msg); err != nil {
			d.metrics.Count("peer_refused_messages_total", a.To)
		}
	case core.ResetPeer:
		d.peers.Reset(a.To)
	case core.Dispatch:
		d.upstreams.Run(ctx, a)
	case core.Cancel:
		go d.cancel(ctx, a)
	case core.CloseUpstream:
		d.upstreams.Close(a.Attempt)
	case core.Deliver:
		if s := d.sinks.get(a.Request); s != nil {
			s.deliver(a)
		}
	case core.Finish:
		if s := d.sinks.get(a.Request); s != nil {
			s.end(a)
		}
	case core.Commit:
		go d.commit(ctx, a)
	case core.Read:
		go d.read(ctx, a)
	case core.Scan:
		go d.scan(ctx, a)
	case core.Fetch:
		go d.fetch(ctx, a)
	case core.RequestTurn:
		go d.requestTurn(ctx, a)
	case core.SendOrder:
		go d.upstreams.Order(ctx, a)
	case core.Poll:
		go d.upstreams.Poll(ctx, a.Upstream, a.Address)
	case core.Count:
		d.metrics.Count(a.Group, a.Name)
	case core.Log:
		d.log.Info(a.Event, a.Pairs...)
	case core.ExplainResult:
		d.explains.respond(a.ID, a.Lines)
	case core.Exit:
		d.exitOnce.Do(func() { close(d.exited) })
	}
}

func (d *Daemon) cancel(ctx context.Context, a core.Cancel) {
	if err := d.upstreams.Cancel(ctx, a.Address, a.Attempt); err != nil {
		d.log.Debug("cancel failed", "attempt", a.Attempt, "error", err)
	}
}

func (d *Daemon) commit(ctx context.Context, a core.Commit) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	d.loop.submit(core.CommitResult{Op: a.Op, Result: d.platform.Commit(ctx, a.Tx)})
}

func (d *Daemon) read(ctx context.Context, a core.Read) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := d.platform.Read(ctx, a.Keys)
	d.loop.submit(core.ReadResult{Op: a.Op, OK: err == nil, Rows: rows})
}

func (d *Daemon) scan(ctx context.Context, a core.Scan) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := d.platform.Scan(ctx, a.Prefix, a.After, a.Limit)
	d.loop.submit(core.ScanResult{Op: a.Op, OK: err == nil, Rows: rows})
}

func (d *Daemon) fetch(ctx context.Context, a core.Fetch) {
	data, err := d.platform.Get(ctx, a.Hash)
	result := core.ObjectResult{Hash: a.Hash, OK: err == nil, Data: data}
	if result.OK {
		// Decoded here and not in the loop, where it would delay all tokens of the instance.
		result.Config = decodeConfig(data, a.Hash)
	}
	d.loop.submit(result)
}

// decodeConfig returns nil for an object that can't be decoded; the core then decodes it again
// and reports the error.
func decodeConfig(data []byte, hash string) *config.Config {
	cfg, err := config.Decode(data, hash)
	if err != nil {
		return nil
	}
	return cfg
}

func (d *Daemon) requestTurn(ctx context.Context, a core.RequestTurn) {
	wait, err := d.platform.Fetch(ctx, a.Model, a.Version, a.Upstream)
	d.loop.submit(core.TurnResult{Upstream: a.Upstream, Wait: wait, OK: err == nil})
}
