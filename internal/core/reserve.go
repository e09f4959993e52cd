package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/budget"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/status"
)

const (
	// homeTimeout is how long an entry waits for the reply of an organisation's home before it
	// turns to the next one in rendezvous order.
	homeTimeout = 400 * time.Millisecond
	// debitTimeout is how long an entry waits for a home that has replied that it is waiting for
	// a debit. It covers one retry of the call to the table. A slow table must not make the home
	// look dead, as the next home would debit another chunk.
	debitTimeout = 2500 * time.Millisecond
	// maxHomes is the maximum number of homes that are tried before the request is refused.
	maxHomes = 3
	// retryAfterNoHome is the Retry-After when no home replied, and the default Retry-After of other
	// temporary failures.
	retryAfterNoHome = 2 * time.Second
	// ReasonNoBudgetHome: no home of the organisation replied.
	ReasonNoBudgetHome = "no_budget_home"
)

// orgHomes lists the homes of an organisation in rendezvous order.
func (i *Instance) orgHomes(now time.Time, org string) []string {
	return i.view.Homes(now, "org/"+org, maxHomes, func(string) int { return 0 })
}

// startAttempt starts a new attempt, which begins with the reservation of its maximum cost.
func (i *Instance) startAttempt(now time.Time, r *request) {
	i.newAttempt(r)
	r.reserve = reserveState{amount: r.maxCost()}
	r.phase = phaseReserving
	i.requestReservation(now, r)
}

// maxHoldTime returns the maximum time for which an attempt can hold its reservation.
func (r *request) maxHoldTime() time.Duration {
	const slack = time.Minute
	return r.service.MaxWait.D() + r.service.Timeout.D() + r.version.Config.Deployment.ResumeWindow.D() + slack
}

// maxCost returns the price of a plain call, or of a generation that produces MaxTokens tokens.
func (r *request) maxCost() config.Money {
	if !r.isEngine() {
		return r.service.CallPrice
	}
	return r.cost(r.MaxTokens)
}

// cost returns the price of a generation with the given number of output tokens.
func (r *request) cost(tokens int) config.Money {
	const tokensPerPrice = 1000 // prices are per 1000 tokens; the cost is rounded up
	m := r.version.Model(r.service.Model)
	micros := int64(m.PromptPrice)*int64(r.Prompt) + int64(m.OutputPrice)*int64(tokens)
	return config.Money((micros + tokensPerPrice - 1) / tokensPerPrice)
}

func (i *Instance) requestReservation(now time.Time, r *request) {
	homes := i.orgHomes(now, r.org.Name)
	if len(homes) == 0 || r.reserve.homesTried >= maxHomes {
		i.refuse(now, r, Finish{
			Status: status.ServiceUnavailable, Reason: ReasonNoBudgetHome,
			Step: "reserve", Peer: r.reserve.home, RetryAfter: retryAfterNoHome,
		})
		return
	}
	r.reserve.home = homes[0]
	r.reserve.homesTried++
	i.wakeAt(r, now.Add(homeTimeout))
	i.send(r.reserve.home, msg.ReserveRequest{Request: budget.Request{
		RequestID: r.attempt, Org: r.org.Name, Entry: i.self, Boot: i.boot,
		Version: r.version.Number, Limits: r.org.Limits,
		Amount: r.reserve.amount, Tokens: r.MaxTokens, Hold: r.maxHoldTime(),
	}})
}

// onReserveTimeout marks the home as silent and requests the reservation from the next one.
func (i *Instance) onReserveTimeout(now time.Time, r *request) {
	i.count("retries_total", "budget_home_silent")
	i.markSilent(now, r.reserve.home)
	// The silent home may have granted the reservation: settle it, so that it does not stay held.
	i.send(r.reserve.home, msg.Settle{Org: r.org.Name, Request: r.attempt})
	i.requestReservation(now, r)
}

// markSilent marks an instance that did not reply as suspected and resets the connection to it.
func (i *Instance) markSilent(now time.Time, name string) {
	if name == i.self {
		return
	}
	i.view.Suspect(now, name)
	i.emit(ResetPeer{To: name})
}

func (i *Instance) onReserveResponse(now time.Time, from string, m msg.ReserveResponse) {
	r := i.requestByAttempt(m.Response.RequestID)
	if r == nil || r.phase != phaseReserving || from != r.reserve.home {
		if m.Response.Granted {
			i.returnLateReservation(from, m.Response)
		}
		return
	}
	if m.Response.Waiting {
		i.wakeAt(r, now.Add(debitTimeout))
		return
	}
	if !m.Response.Granted {
		i.refuse(now, r, Finish{
			Status: status.TooManyRequests, Reason: m.Response.Reason,
			Step: "reserve", Peer: from, RetryAfter: m.Response.RetryAfter,
		})
		return
	}
	r.reserve.held = true
	i.startPlacing(now, r)
}

// returnLateReservation returns a reservation that is no longer needed.
func (i *Instance) returnLateReservation(home string, a budget.Response) {
	if r := i.requestByAttempt(a.RequestID); r != nil && r.reserve.held && r.reserve.home == home {
		return // a repeat of the reply for the reservation in use
	}
	i.count("late_answers_total", "reserve")
	i.send(home, msg.Settle{Org: a.Org, Request: a.RequestID})
}

// settle ends the reservation with the cost of the attempt. An unknown cost counts as the reserved
// maximum, so that spending cannot exceed the limit.
func (i *Instance) settle(r *request, f Finish) {
	if !r.reserve.held {
		return
	}
	r.reserve.held = false
	used := r.reserve.amount
	switch {
	case !r.run.sent || f.Outcome == NotRun:
		used = 0
	case f.Outcome == Done && r.isEngine():
		used = r.cost(f.Tokens)
	case r.run.producedKnown:
		used = min(used, r.cost(r.run.produced))
	}
	i.send(r.reserve.home, msg.Settle{
		Org: r.org.Name, Request: r.attempt, Used: int64(used), Tokens: f.Tokens,
	})
}
