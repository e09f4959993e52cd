package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/budget"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/status"
)

const (
	// askTimeout is how long a home may be silent before the next one in rendezvous order is
	// asked.
	askTimeout = 400 * time.Millisecond
	// debitTimeout is how long a live home may take for a debit, including a retry of the
	// table. A slow table must not make its home look dead: the next home would debit another
	// chunk.
	debitTimeout = 2500 * time.Millisecond
	// maxHomes is the number of homes asked before the request is refused.
	maxHomes = 3
	// retryNoHome is the Retry-After when no home answered.
	retryNoHome = 2 * time.Second
	// ReasonNoBudgetHome: no home of the organisation answered.
	ReasonNoBudgetHome = "no_budget_home"
)

// orgHomes lists the homes of an organisation in rendezvous order.
func (i *Instance) orgHomes(now time.Time, org string) []string {
	return i.view.Homes(now, "org/"+org, maxHomes, func(string) int { return 0 })
}

// startAttempt starts an attempt by reserving its maximum cost.
func (i *Instance) startAttempt(now time.Time, r *request) {
	i.newAttempt(r)
	r.reserve = reserveState{amount: r.maxCost()}
	r.phase = reserving
	i.askReserve(now, r)
}

// longest bounds how long an attempt can hold its reservation.
func (r *request) longest() time.Duration {
	const slack = time.Minute
	return r.service.MaxWait.D() + r.service.Timeout.D() + r.version.Config.Deployment.ResumeWindow.D() + slack
}

func (r *request) maxCost() config.Money {
	if !r.engine() {
		return r.service.CallPrice
	}
	return r.cost(r.MaxTokens)
}

// cost returns the price of a generation with the given number of output tokens.
func (r *request) cost(tokens int) config.Money {
	const per = 1000
	m := r.version.Model(r.service.Model)
	micros := int64(m.PromptPrice)*int64(r.Prompt) + int64(m.OutputPrice)*int64(tokens)
	return config.Money((micros + per - 1) / per)
}

func (i *Instance) askReserve(now time.Time, r *request) {
	homes := i.orgHomes(now, r.org.Name)
	if len(homes) == 0 || r.reserve.asks >= maxHomes {
		i.refuse(now, r, Finish{
			Status: status.ServiceUnavailable, Reason: ReasonNoBudgetHome,
			Step: "reserve", Peer: r.reserve.home, RetryAfter: retryNoHome,
		})
		return
	}
	r.reserve.home = homes[0]
	r.reserve.asks++
	i.wakeAt(r, now.Add(askTimeout))
	i.send(r.reserve.home, msg.ReserveAsk{Ask: budget.Ask{
		Request: r.attempt, Org: r.org.Name, Entry: i.self, Boot: i.boot,
		Version: r.version.Number, Limits: r.org.Limits,
		Amount: r.reserve.amount, Tokens: r.MaxTokens, Hold: r.longest(),
	}})
}

func (i *Instance) reserveTimeout(now time.Time, r *request) {
	i.count("retries_total", "budget_home_silent")
	i.giveUpOn(now, r.reserve.home)
	// The silent home may have granted: settle there, so that nothing stays held.
	i.send(r.reserve.home, msg.Settle{Org: r.org.Name, Request: r.attempt})
	i.askReserve(now, r)
}

// giveUpOn marks an instance that did not answer.
func (i *Instance) giveUpOn(now time.Time, name string) {
	if name == i.self {
		return
	}
	i.view.Suspect(now, name)
	i.emit(ResetPeer{To: name})
}

func (i *Instance) onReserveAnswer(now time.Time, from string, m msg.ReserveAnswer) {
	r := i.byAttempt(m.Answer.Request)
	if r == nil || r.phase != reserving || from != r.reserve.home {
		if m.Answer.Granted {
			i.returnLate(from, m.Answer)
		}
		return
	}
	if m.Answer.Waiting {
		i.wakeAt(r, now.Add(debitTimeout))
		return
	}
	if !m.Answer.Granted {
		i.refuse(now, r, Finish{
			Status: status.TooManyRequests, Reason: m.Answer.Reason,
			Step: "reserve", Peer: from, RetryAfter: m.Answer.RetryAfter,
		})
		return
	}
	r.reserve.held = true
	i.startPlacing(now, r)
}

// returnLate returns a reservation that is no longer needed.
func (i *Instance) returnLate(home string, a budget.Answer) {
	if r := i.byAttempt(a.Request); r != nil && r.reserve.held && r.reserve.home == home {
		return // a repeated answer to a reservation that is in use
	}
	i.count("late_answers_total", "reserve")
	i.send(home, msg.Settle{Org: a.Org, Request: a.Request})
}

// settle ends the reservation. An unknown cost counts as the maximum, so that spending cannot
// exceed the limit.
func (i *Instance) settle(r *request, f Finish) {
	if !r.reserve.held {
		return
	}
	r.reserve.held = false
	used := r.reserve.amount
	switch {
	case !r.run.sent || f.Outcome == NotRun:
		used = 0
	case f.Outcome == Done && r.engine():
		used = r.cost(f.Tokens)
	case r.run.counted:
		used = min(used, r.cost(r.run.produced))
	}
	i.send(r.reserve.home, msg.Settle{
		Org: r.org.Name, Request: r.attempt, Used: int64(used), Tokens: f.Tokens,
	})
}
