package hosted

import (
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/core/watch"
	"mulberrylug.example/mulberrylug/internal/metrics"
)

// maxFailedSteps is the maximum number of failed queries that a log line lists.
const maxFailedSteps = 12

// freshness logs and counts how late versions of the configuration take effect here, and why. The
// store does not state when it accepted a version. That was after the state in force here was last
// confirmed as the newest, so that the time since then is the maximum delay.
type freshness struct {
	metrics *metrics.Metrics
	log     hclog.Logger
	// bound returns the time within which a version must be in force; 0 means no limit.
	bound func() time.Duration

	// mu guards the rest.
	mu sync.Mutex
	// failed lists the queries that have failed since the last confirmation, with the time that each
	// took. skipped is the number of those beyond maxFailedSteps.
	failed  []string
	skipped int
	// overdue is set while the state has been unconfirmed for longer than the bound, and further while
	// further sources are queried because the confirmation is overdue. listOverdue is the same as overdue for
	// the list of upstreams.
	overdue, further, listOverdue bool
}

// furtherQueried records a query of a further source because the confirmation, which has the given age, is
// overdue. It logs the first one.
func (f *freshness) furtherQueried(source string, age time.Duration) {
	label := "instance"
	if source == sourceName(watch.Store) {
		label = "store"
	}
	f.metrics.Count("further_queries_total", label)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.further {
		f.further = true
		f.log.Info("confirmation_overdue", "queried", source, "age", age.Round(time.Millisecond), "failed", strings.Join(f.failed, ","))
	}
}

// lateResponse records a response that arrived after its source had counted as unresponsive or another
// query had replaced its own. It is used if its query is still known.
func (f *freshness) lateResponse(got syncResponse, used bool) {
	holds := "confirmation"
	if got.Config != nil {
		holds = "configuration"
	}
	f.metrics.Count("late_responses_total", holds)
	f.log.Info("response_late", "source", got.from, "number", got.Number, "holds", holds, "used", used)
}

// queryFailed records a failed query of a source.
func (f *freshness) queryFailed(source string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.failed) == maxFailedSteps {
		f.skipped++
		return
	}
	f.failed = append(f.failed, source+":"+took.Round(time.Millisecond).String())
}

// adopted records that a version is in force. unconfirmed is the time since the former state was last
// confirmed, and took the duration of the query that returned the version.
func (f *freshness) adopted(version int64, source string, unconfirmed, took time.Duration) {
	f.metrics.Observe("configuration_delay_milliseconds", "maximum", unconfirmed)
	if bound := f.bound(); bound == 0 || unconfirmed <= bound {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.metrics.Count("configurations_total", "late")
	f.log.Warn("configuration_late", "version", version, "source", source, "unconfirmed_for", unconfirmed.Round(time.Millisecond),
		"query_took", took.Round(time.Millisecond), "failed", strings.Join(f.failed, ","), "not_listed", f.skipped)
}

// confirmed records that the state in force was confirmed as the newest, and that it had been
// unconfirmed for some time before.
func (f *freshness) confirmed(source string, unconfirmed time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.overdue {
		f.log.Info("configuration_confirmed_again", "source", source, "unconfirmed_for", unconfirmed.Round(time.Millisecond))
	}
	f.overdue, f.further, f.failed, f.skipped = false, false, nil, 0
}

// check logs once that the state has been unconfirmed for longer than the bound.
func (f *freshness) check(source string, unconfirmed time.Duration) {
	bound := f.bound()
	f.mu.Lock()
	defer f.mu.Unlock()
	if bound == 0 || unconfirmed <= bound || f.overdue {
		return
	}
	f.overdue = true
	f.metrics.Count("configuration_overdue_total", "entered")
	f.log.Warn("configuration_unconfirmed", "source", source, "unconfirmed_for", unconfirmed.Round(time.Millisecond),
		"failed", strings.Join(f.failed, ","), "not_listed", f.skipped)
}

// checkList logs once that the list of upstreams has been unconfirmed for longer than the bound, and once that
// it is confirmed again: until then this instance may send to upstreams that leave.
func (f *freshness) checkList(source string, unconfirmed time.Duration) {
	bound := f.bound()
	f.mu.Lock()
	defer f.mu.Unlock()
	overdue := bound > 0 && unconfirmed > bound
	if overdue == f.listOverdue {
		return
	}
	f.listOverdue = overdue
	if !overdue {
		f.log.Info("list_confirmed_again", "source", source, "age", unconfirmed.Round(time.Millisecond))
		return
	}
	f.metrics.Count("list_overdue_total", "entered")
	f.log.Warn("list_unconfirmed", "source", source, "unconfirmed_for", unconfirmed.Round(time.Millisecond),
		"failed", strings.Join(f.failed, ","), "not_listed", f.skipped)
}
