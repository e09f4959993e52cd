// Package platform is a small stand-in for the platform: a transactional table, an
// object store, an instance list that may be out of date and a rate-limited weight
// store, all in memory. It can inject outages and lost responses.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/memtable"

	"mulberrylug.example/mulberrylug/internal/core/membership"
	"mulberrylug.example/mulberrylug/internal/core/table"
	"mulberrylug.example/mulberrylug/internal/platform"
)

const (
	// listTTL is the time after which an instance that has not announced itself again
	// is dropped from the list.
	listTTL = 5 * time.Second
	// weightLoadInterval is the minimum time between two loads from the weight store.
	weightLoadInterval = 500 * time.Millisecond
)

// Faults selects the faults that the stand-in injects. The zero value injects none.
type Faults struct {
	// Down makes every table and object call hang until the caller disconnects.
	Down bool `json:"down"`
	// Delay is added to each table and object call.
	Delay time.Duration `json:"delay"`
	// LoseAnswers is the number of the next commits that take effect without a response.
	LoseAnswers int `json:"lose_answers"`
	// LandLate is the number of the next commits that get no response and take effect
	// with the delay LandAfter after their arrival, long after the timeouts of their
	// callers.
	LandLate  int           `json:"land_late"`
	LandAfter time.Duration `json:"land_after"`
	// LoseMatching restricts LoseAnswers and LandLate to commits that write a key
	// with this prefix.
	LoseMatching string `json:"lose_matching"`
	// ListLag is the age of the instance list that is returned.
	ListLag time.Duration `json:"list_lag"`
}

// Counts holds the numbers of table calls that were served.
type Counts struct {
	Commits int64 `json:"commits"`
	Reads   int64 `json:"reads"`
}

// Platform is the stand-in for the platform. It is an http.Handler.
type Platform struct {
	mux *http.ServeMux

	mu             sync.Mutex
	table          *memtable.Table
	objects        map[string][]byte
	members        map[string]announcement // by name
	history        []snapshot              // oldest first
	faults         Faults
	counts         Counts
	nextWeightLoad time.Time // earliest time of the next load from the weight store
	hooks          []hook
}

// hook is a function that runs once, between a commit that writes a key with the prefix
// and its response.
type hook struct {
	prefix string
	run    func()
}

// announcement is the latest announcement of one member, with its time of arrival.
type announcement struct {
	member membership.Member
	at     time.Time
}

// snapshot is the instance list as it was at one time.
type snapshot struct {
	at   time.Time
	list []membership.Member
}

// New returns an empty platform.
func New() *Platform {
	p := &Platform{
		mux: http.NewServeMux(), table: memtable.New(),
		objects: map[string][]byte{}, members: map[string]announcement{},
	}
	p.mux.HandleFunc("POST /table/commit", p.commit)
	p.mux.HandleFunc("POST /table/read", p.read)
	p.mux.HandleFunc("POST /table/scan", p.scan)
	p.mux.HandleFunc("GET /objects/{name}", p.getObject)
	p.mux.HandleFunc("PUT /objects/{name}", p.putObject)
	p.mux.HandleFunc("GET /instances", p.list)
	p.mux.HandleFunc("POST /instances", p.announce)
	p.mux.HandleFunc("POST /weights", p.weights)
	p.mux.HandleFunc("POST /faults", p.setFaults)
	p.mux.HandleFunc("GET /rows", p.getRows)
	p.mux.HandleFunc("GET /counts", p.getCounts)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// AfterCommit runs f once, after the next commit that writes a key with the prefix has
// taken effect and before its response is sent. Tests freeze or kill the writer at that
// point.
func (p *Platform) AfterCommit(prefix string, f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hooks = append(p.hooks, hook{prefix: prefix, run: f})
}

// takeHook removes and returns the first hook that matches a transaction, or returns a
// function that does nothing.
func (p *Platform) takeHook(tx table.Tx) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n, h := range p.hooks {
		if writesPrefix(tx, h.prefix) {
			p.hooks = slices.Delete(p.hooks, n, n+1)
			return h.run
		}
	}
	return func() {}
}

// Counts returns the number of table calls so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Rows returns the stored rows whose key has a prefix, sorted by key.
func (p *Platform) Rows(prefix string) []table.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Scan(prefix)
}

// applyOutage waits as the faults Down and Delay say. It returns false if the caller has
// disconnected.
func (p *Platform) applyOutage(r *http.Request) bool {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	if f.Down {
		<-r.Context().Done()
		return false
	}
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(f.Delay):
		return true
	}
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var tx table.Tx
	if !decode(w, r, &tx) || !p.applyOutage(r) {
		return
	}
	if after, late := p.takeLateCommit(tx); late {
		time.AfterFunc(after, func() { p.apply(tx) })
		<-r.Context().Done()
		return
	}
	res, lost := p.apply(tx)
	p.takeHook(tx)()
	if lost {
		<-r.Context().Done()
		return
	}
	reply(w, res)
}

// apply executes a transaction. lost is true if its response must not be sent.
func (p *Platform) apply(tx table.Tx) (res table.Result, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Commits++
	return p.table.Apply(tx), p.takeLostResponse(tx)
}

// takeLostResponse reports whether the fault LoseAnswers applies to a transaction, and if
// so reduces the number of commits still to be affected. The caller holds the lock.
func (p *Platform) takeLostResponse(tx table.Tx) bool {
	if p.faults.LoseAnswers == 0 || !writesPrefix(tx, p.faults.LoseMatching) {
		return false
	}
	p.faults.LoseAnswers--
	return true
}

// takeLateCommit reports whether the fault LandLate applies to a transaction, and if so
// reduces the number of commits still to be affected. It returns the delay of the commit.
func (p *Platform) takeLateCommit(tx table.Tx) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LandLate == 0 || !writesPrefix(tx, p.faults.LoseMatching) {
		return 0, false
	}
	p.faults.LandLate--
	return p.faults.LandAfter, true
}

// writesPrefix reports whether a transaction writes a key with the prefix.
func writesPrefix(tx table.Tx, prefix string) bool {
	return slices.ContainsFunc(tx.Writes, func(w table.Write) bool { return strings.HasPrefix(w.Key, prefix) })
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	var keys []string
	if !decode(w, r, &keys) || !p.applyOutage(r) {
		return
	}
	p.mu.Lock()
	p.counts.Reads++
	rows := make([]table.Row, 0, len(keys))
	for _, k := range keys {
		rows = append(rows, p.table.Row(k))
	}
	p.mu.Unlock()
	reply(w, rows)
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	var in platform.ScanRequest
	if !decode(w, r, &in) || !p.applyOutage(r) {
		return
	}
	rows := p.Rows(in.Prefix)
	rows = slices.DeleteFunc(rows, func(row table.Row) bool { return row.Key <= in.After })
	p.mu.Lock()
	p.counts.Reads++
	p.mu.Unlock()
	reply(w, rows[:min(in.Limit, len(rows))])
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	if !p.applyOutage(r) {
		return
	}
	p.mu.Lock()
	data, ok := p.objects[r.PathValue("name")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Write(data)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil || !p.applyOutage(r) {
		return
	}
	p.mu.Lock()
	p.objects[r.PathValue("name")] = data
	p.mu.Unlock()
}

func (p *Platform) announce(w http.ResponseWriter, r *http.Request) {
	var m membership.Member
	if !decode(w, r, &m) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members[m.Name] = announcement{member: m, at: time.Now()}
	p.recordSnapshot()
}

// recordSnapshot stores the present instance list, so that the fault ListLag can return
// an earlier one. The caller holds the lock.
func (p *Platform) recordSnapshot() {
	now := time.Now()
	var list []membership.Member
	for _, a := range p.members {
		if now.Sub(a.at) < listTTL {
			list = append(list, a.member)
		}
	}
	slices.SortFunc(list, func(a, b membership.Member) int { return strings.Compare(a.Name, b.Name) })
	p.history = append(p.history, snapshot{at: now, list: list})
	const kept = 10_000
	if len(p.history) > kept {
		p.history = p.history[len(p.history)-kept:]
	}
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.recordSnapshot()
	seen := time.Now().Add(-p.faults.ListLag)
	list := p.history[0].list
	for _, s := range p.history {
		if s.at.After(seen) {
			break
		}
		list = s.list
	}
	p.mu.Unlock()
	replyWithETag(w, r, list)
}

// weights responds with the time after which the caller may load from the weight store;
// 0 permits the load now.
func (p *Platform) weights(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	wait := max(p.nextWeightLoad.Sub(now), 0)
	if wait == 0 {
		p.nextWeightLoad = now.Add(weightLoadInterval)
	}
	reply(w, wait)
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if decode(w, r, &f) {
		p.SetFaults(f)
	}
}

func (p *Platform) getRows(w http.ResponseWriter, r *http.Request) {
	reply(w, p.Rows(r.URL.Query().Get("prefix")))
}

func (p *Platform) getCounts(w http.ResponseWriter, _ *http.Request) { reply(w, p.Counts()) }

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An encoding error here means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
