// Package platform is a small stand-in for the platform: a transactional
// table, an object store, a lagging instance list and a rate-limited weight
// store, all in memory, with switches for outages and lost answers.
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
	// listTTL drops an instance from the list after it fell silent.
	listTTL = 5 * time.Second
	// weightsEvery is the pause between two loads from the weight store.
	weightsEvery = 500 * time.Millisecond
)

// Faults are the switches of the stand-in.
type Faults struct {
	// Down makes every table and object call hang until the caller gives up.
	Down bool `json:"down"`
	// Delay slows each table call.
	Delay time.Duration `json:"delay"`
	// LoseAnswers makes the next commits take effect without an answer.
	LoseAnswers int `json:"lose_answers"`
	// LandLate makes the next commits take effect only LandAfter after they
	// came, long after their callers gave up.
	LandLate  int           `json:"land_late"`
	LandAfter time.Duration `json:"land_after"`
	// LoseMatching restricts LoseAnswers and LandLate to commits that
	// write a key with this prefix.
	LoseMatching string `json:"lose_matching"`
	// ListLag makes the instance list this much older than the truth.
	ListLag time.Duration `json:"list_lag"`
}

// Counts are the calls that the table served.
type Counts struct {
	Commits int64 `json:"commits"`
	Reads   int64 `json:"reads"`
}

// Platform is the stand-in. It is an http.Handler.
type Platform struct {
	mux *http.ServeMux

	mu       sync.Mutex
	table    *memtable.Table
	objects  map[string][]byte
	members  map[string]announced
	history  []snapshot
	faults   Faults
	counts   Counts
	nextTurn time.Time
	hooks    []hook
}

// hook runs once between a commit and its answer.
type hook struct {
	prefix string
	run    func()
}

type announced struct {
	member membership.Member
	at     time.Time
}

type snapshot struct {
	at   time.Time
	list []membership.Member
}

// New returns an empty platform.
func New() *Platform {
	p := &Platform{
		mux: http.NewServeMux(), table: memtable.New(),
		objects: map[string][]byte{}, members: map[string]announced{},
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
	p.mux.HandleFunc("GET /rows", p.dump)
	p.mux.HandleFunc("GET /counts", p.getCounts)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// SetFaults replaces the switches.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// AfterCommit runs f once, after the next commit that writes a key with the
// prefix has taken effect and before its answer leaves: tests freeze or kill
// the writer there.
func (p *Platform) AfterCommit(prefix string, f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hooks = append(p.hooks, hook{prefix: prefix, run: f})
}

func (p *Platform) takeHook(tx table.Tx) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n, h := range p.hooks {
		if writes(tx, h.prefix) {
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

// hold applies the outage and delay switches. It reports false if the caller
// has given up.
func (p *Platform) hold(r *http.Request) bool {
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
	if !decode(w, r, &tx) || !p.hold(r) {
		return
	}
	if after, late := p.landsLate(tx); late {
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

// apply runs a transaction. lost is true if its answer must not be sent.
func (p *Platform) apply(tx table.Tx) (res table.Result, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Commits++
	return p.table.Apply(tx), p.loses(tx)
}

func (p *Platform) loses(tx table.Tx) bool {
	if p.faults.LoseAnswers == 0 || !writes(tx, p.faults.LoseMatching) {
		return false
	}
	p.faults.LoseAnswers--
	return true
}

func (p *Platform) landsLate(tx table.Tx) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LandLate == 0 || !writes(tx, p.faults.LoseMatching) {
		return 0, false
	}
	p.faults.LandLate--
	return p.faults.LandAfter, true
}

func writes(tx table.Tx, prefix string) bool {
	return slices.ContainsFunc(tx.Writes, func(w table.Write) bool { return strings.HasPrefix(w.Key, prefix) })
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	var keys []string
	if !decode(w, r, &keys) || !p.hold(r) {
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
	if !decode(w, r, &in) || !p.hold(r) {
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
	if !p.hold(r) {
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
	if err != nil || !p.hold(r) {
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
	p.members[m.Name] = announced{member: m, at: time.Now()}
	p.remember()
}

// remember keeps the list as it was, for the lag switch.
func (p *Platform) remember() {
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
	p.remember()
	seen := time.Now().Add(-p.faults.ListLag)
	list := p.history[0].list
	for _, s := range p.history {
		if s.at.After(seen) {
			break
		}
		list = s.list
	}
	p.mu.Unlock()
	replyTagged(w, r, list)
}

func (p *Platform) weights(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	wait := max(p.nextTurn.Sub(now), 0)
	if wait == 0 {
		p.nextTurn = now.Add(weightsEvery)
	}
	reply(w, wait)
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if decode(w, r, &f) {
		p.SetFaults(f)
	}
}

func (p *Platform) dump(w http.ResponseWriter, r *http.Request) {
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
	// An encoding error here means that the caller has gone.
	_ = json.NewEncoder(w).Encode(v)
}
