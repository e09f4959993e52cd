package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/order"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/table"
)

// RequestTurn requests permission from the weight store for an upstream to load a model version.
// The result arrives as a TurnResult.
type RequestTurn struct {
	Upstream string
	Model    string
	Version  string
}

// SendOrder sends an upstream the order to run a model version. The result arrives as an
// OrderResult.
type SendOrder struct {
	Upstream string
	Address  string
	// Fence is the fencing number of the order.
	Fence   int64
	Version string
	// SendBefore is the time after which the order must not be sent. Timeout bounds the call.
	SendBefore time.Time
	Timeout    time.Duration
}

// TurnResult is the weight store's response. Wait is the time until the upstream may load the
// version. OK is false if there was no reply.
type TurnResult struct {
	Upstream string
	Wait     time.Duration
	OK       bool
}

// OrderResult is the result of the order with the fencing number Fence.
type OrderResult struct {
	Upstream string
	Fence    int64
	// Refused is set if the upstream refused the fencing number.
	Refused bool
}

func (RequestTurn) action() {}
func (SendOrder) action()   {}
func (TurnResult) event()   {}
func (OrderResult) event()  {}

// assignedVersion returns the model version that the configuration assigns to an upstream.
func (i *Instance) assignedVersion(upstream string) (model, version string) {
	u := i.version.Upstream(upstream)
	if u == nil {
		return "", ""
	}
	m := i.version.Model(i.version.Service(u.Service).Model)
	if m == nil {
		return "", ""
	}
	return m.Name, m.Version
}

// order returns the state machine for an upstream's orders and creates it if needed.
func (i *Instance) order(h *poolHome, upstream string) *order.Machine {
	m := h.orders[upstream]
	if m == nil {
		checks := i.version.Upstream(upstream).ChecksFencing
		m = order.NewMachine(upstream, i.self+"-"+i.boot, checks)
		h.orders[upstream] = m
	}
	return m
}

// orderOnReport compares the version that an upstream runs with the version that it should run,
// and reports whether the upstream must get no new work because an order is in progress.
func (i *Instance) orderOnReport(now time.Time, h *poolHome, r placement.Report) bool {
	if i.version.Upstream(r.Upstream) == nil {
		return false
	}
	_, version := i.assignedVersion(r.Upstream)
	m := i.order(h, r.Upstream)
	m.Want(version)
	i.emitOrder(r.Upstream, m.Report(now, r.Version, r.Running+r.Waiting))
	return m.Busy()
}

func (i *Instance) tickOrders(now time.Time, h *poolHome) {
	for _, upstream := range sortedNames(h.orders) {
		i.emitOrder(upstream, h.orders[upstream].Tick(now))
	}
}

func (i *Instance) emitOrder(upstream string, outs []order.Action) {
	for _, o := range outs {
		switch {
		case o.Commit != nil:
			i.emit(Commit{Op: opOrder + upstream, Tx: *o.Commit})
		case o.Read:
			i.emit(Read{Op: opOrder + upstream, Keys: []string{order.RowKey(upstream)}})
		case o.Turn:
			model, version := i.assignedVersion(upstream)
			i.emit(RequestTurn{Upstream: upstream, Model: model, Version: version})
		case o.Send != nil:
			i.sendOrder(upstream, *o.Send)
		}
	}
}

func (i *Instance) sendOrder(upstream string, s order.Send) {
	member, ok := i.view.Member(upstream)
	if !ok {
		return // the upstream has left; an upstream that replaces it gets its own order
	}
	i.count("orders_total", upstream)
	i.emit(Log{Event: "order", Pairs: []any{"upstream", upstream, "fence", s.Fence, "version", s.Value}})
	i.emit(SendOrder{
		Upstream: upstream, Address: member.Address, Fence: s.Fence, Version: s.Value,
		SendBefore: s.Before, Timeout: order.MessageTimeout,
	})
}

// orderFor returns the state machine of an upstream, nil if this instance is no longer the home
// of the upstream's pool.
func (i *Instance) orderFor(upstream string) *order.Machine {
	if h := i.homeOf(upstream); h != nil {
		return h.orders[upstream]
	}
	return nil
}

func (i *Instance) onOrderCommitted(now time.Time, upstream string, res table.Result) {
	if m := i.orderFor(upstream); m != nil {
		i.emitOrder(upstream, m.Committed(now, res))
	}
}

func (i *Instance) onOrderRow(now time.Time, upstream string, e ReadResult) {
	if m := i.orderFor(upstream); m != nil {
		row := table.Result{Rows: e.Rows}.Find(order.RowKey(upstream))
		i.emitOrder(upstream, m.OnRow(now, row, e.OK))
	}
}

func (i *Instance) onTurn(now time.Time, e TurnResult) {
	if m := i.orderFor(e.Upstream); m != nil {
		i.emitOrder(e.Upstream, m.OnTurn(now, e.Wait, e.OK))
	}
}

func (i *Instance) onOrderResult(now time.Time, e OrderResult) {
	if e.Refused {
		i.count("orders_refused_total", e.Upstream)
	}
	if m := i.orderFor(e.Upstream); m != nil {
		m.OnResponse(now, e.Fence, e.Refused)
	}
}
