// Package lifecycle decides what a signal does to a process, from the first line of main to the exit.
// It does no I/O; package cli delivers the signals and carries out the actions.
package lifecycle

// State is the state of a process.
type State string

// States of a process, in order. A process that is interrupted while it starts goes to Ended.
const (
	// Starting: no request is accepted yet.
	Starting State = "starting"
	Serving  State = "serving"
	Draining State = "draining"
	// Ended: the process is about to exit.
	Ended State = "ended"
)

// Signal is a signal by its meaning.
type Signal string

// Signals.
const (
	// Terminate is SIGTERM or SIGINT.
	Terminate Signal = "terminate"
	// Hangup is SIGHUP.
	Hangup Signal = "hangup"
)

// Action is what the process must do.
type Action string

// Actions.
const (
	// None: the signal has no effect.
	None Action = "none"
	// Reload reads the settings again.
	Reload Action = "reload"
	// ReloadLater reads the settings again once the process has started.
	ReloadLater Action = "reload_later"
	// Drain completes the requests in progress and then ends the process.
	Drain Action = "drain"
	// Stop ends the process immediately.
	Stop Action = "stop"
)

// Policy is how a kind of process treats signals.
type Policy struct {
	// Drains is set if the process serves requests, which it completes before it ends.
	Drains bool
	// SecondStops is set if a second Terminate ends a drain immediately.
	SecondStops bool
	// Reloads is set if Hangup reloads the settings. Otherwise Hangup is the same as Terminate.
	Reloads bool
}

// Machine is the state of one process. It is not safe for concurrent use.
type Machine struct {
	policy Policy
	state  State
	// reloadDue is set if the settings may have changed since they were read at the start.
	reloadDue bool
}

// New returns the state of a process that starts.
func New(p Policy) *Machine { return &Machine{policy: p, state: Starting} }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Signal returns the effect of a signal.
func (m *Machine) Signal(s Signal) Action {
	switch {
	case m.state == Ended:
		return None
	case s == Hangup && m.policy.Reloads:
		return m.hangup()
	case m.state == Serving && m.policy.Drains:
		m.state = Draining
		return Drain
	case m.state == Draining && m.policy.Drains && !m.policy.SecondStops:
		return None
	}
	m.state = Ended
	return Stop
}

func (m *Machine) hangup() Action {
	if m.state == Starting {
		m.reloadDue = true
		return ReloadLater
	}
	return Reload
}

// Started returns what to do when the process is about to accept requests: Reload, None, or Stop if a
// signal has ended it before.
func (m *Machine) Started() Action {
	switch {
	case m.state == Ended:
		return Stop
	case m.state != Starting:
		return None
	}
	m.state = Serving
	if m.reloadDue {
		m.reloadDue = false
		return Reload
	}
	return None
}

// End records that the process is about to exit by itself.
func (m *Machine) End() { m.state = Ended }
