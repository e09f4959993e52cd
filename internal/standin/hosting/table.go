// Package hosting is a small stand-in for the operators' hosting platform: its table
// store, with conditional writes and a feed of changes, and its upstreams, which are plain
// services and engines, with faults that a test can inject. It implements the platform's
// wire format and records the requests that arrive, so that tests can check them.
package hosting

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin"
)

// Mode selects how the table responds.
type Mode string

// Modes of the table.
const (
	// Well serves all calls normally.
	Well Mode = ""
	// Busy responds with status 503 and does nothing.
	Busy Mode = "busy"
	// Silent accepts calls and never responds.
	Silent Mode = "silent"
	// Lost applies writes and closes the connection without a response.
	Lost Mode = "lost"
	// Slow delays every response by slowDelay.
	Slow Mode = "slow"
	// Away closes the connections of all calls, also of waiting ones.
	Away Mode = "away"
	// StalledFeed never responds to queries for changes, NoList never to any call about the list of upstreams.
	// All other calls are served normally.
	StalledFeed Mode = "stalled_feed"
	NoList      Mode = "no_list"
	// EndlessHead and EndlessBody respond to all calls without an end.
	EndlessHead Mode = "endless_head"
	EndlessBody Mode = "endless_body"
)

// endlessMost is what the table sends at most in a response without an end, in bytes.
const endlessMost = 64 << 20

// slowDelay is the delay of each response in mode Slow.
const slowDelay = 300 * time.Millisecond

// Row is a row of a table.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// loggedRow is a row of the history with the time of its write.
type loggedRow struct {
	Row
	at time.Time
}

// id returns the key of a row in Table.rows.
func (r Row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// Table is the platform's table store.
type Table struct {
	mu sync.Mutex
	// changed is closed and replaced at each change.
	changed chan struct{}
	rows    map[string]Row // by Row.id
	// log is the history of the rows, with their deletions, as far as it has not been dropped, and written
	// the whole history.
	log     []Row
	written []loggedRow
	// ver is the version of the latest write.
	ver int64
	// era rises with each Restore.
	era int64
	// trimmedTo is the version up to which the history has been dropped.
	trimmedTo int64
	mode      Mode
	// callerModes holds the modes set for single instances, by name.
	callerModes map[string]Mode
	calls       map[string]int // number of calls by path
	startedAt   time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		changed: make(chan struct{}), rows: map[string]Row{}, callerModes: map[string]Mode{}, era: 1,
		calls: map[string]int{}, startedAt: time.Now(),
	}
}

// Put writes a row without a precondition, as the operator or an upstream does. A value that
// is not a byte slice is encoded as JSON.
func (t *Table) Put(table, key string, value any) {
	raw, ok := value.([]byte)
	if !ok {
		var err error
		if raw, err = json.Marshal(value); err != nil {
			panic(err) // the tests pass only types that can be encoded
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.write(Row{Table: table, Key: key, Value: raw})
}

// Has reports whether a row exists.
func (t *Table) Has(table, key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.rows[Row{Table: table, Key: key}.id()]
	return ok
}

// Remove deletes a row.
func (t *Table) Remove(table, key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.write(Row{Table: table, Key: key, Deleted: true})
}

// write applies one row under a new version. The caller holds the lock.
func (t *Table) write(r Row) {
	t.ver++
	r.Ver = t.ver
	if r.Deleted {
		delete(t.rows, r.id())
	} else {
		t.rows[r.id()] = r
	}
	t.log = append(t.log, r)
	t.written = append(t.written, loggedRow{Row: r, at: time.Now()})
	t.signal()
}

// signal wakes the waiting queries for changes. The caller holds the lock.
func (t *Table) signal() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Restore replaces the content by that of some time ago, as a store does that comes back from an older copy:
// later writes are lost, their versions are given out again, and the era rises. It returns the versions
// before and after.
func (t *Table) Restore(age time.Duration) (before, after int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, limit := t.ver, time.Now().Add(-age)
	t.written = slices.DeleteFunc(t.written, func(w loggedRow) bool { return w.at.After(limit) })
	t.rows, t.log, t.ver = map[string]Row{}, nil, 0
	for _, w := range t.written {
		t.rows[w.id()] = w.Row
		if w.Deleted {
			delete(t.rows, w.id())
		}
		t.ver = w.Ver
		t.log = append(t.log, w.Row)
	}
	t.era++
	t.trimmedTo = 0
	t.signal()
	return before, t.ver
}

// Set changes the mode for all callers that have no mode from SetFor.
func (t *Table) Set(m Mode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode = m
	if m == Away {
		t.signal()
	}
}

// SetFor changes the mode for the calls of one instance, which HandlerFor serves.
func (t *Table) SetFor(instance string, m Mode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.callerModes[instance] = m
	if m == Away {
		t.signal()
	}
}

// HandlerFor returns the handler of one instance's calls. Each instance needs an address of the
// table of its own: all connections within the loopback range come from 127.0.0.1, so that their
// source does not tell instances apart.
func (t *Table) HandlerFor(instance string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { t.serve(w, r, instance) })
}

// Forget drops the history of changes. A feed that resumes from an earlier version then
// gets status 410.
func (t *Table) Forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trimmedTo, t.log = t.ver, nil
	t.signal()
}

// Calls returns the number of calls to a path.
func (t *Table) Calls(path string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls[path]
}

// pathFeed is the path of queries for changes.
const pathFeed = "/v1/rows-feed"

// serve serves a call of an instance.
func (t *Table) serve(w http.ResponseWriter, r *http.Request, instance string) {
	t.mu.Lock()
	t.calls[r.URL.Path]++
	w.Header().Set("Store-Era", strconv.FormatInt(t.era, 10))
	t.mu.Unlock()
	mode := t.modeFor(instance)
	if t.applyMode(w, r, mode) {
		return
	}
	switch r.URL.Path {
	case "/v1/rows-get":
		t.serveGet(w, r)
	case pathFeed:
		t.serveFeed(w, r, instance)
	case "/v1/rows-tx":
		t.serveTransaction(w, r, mode)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// modeFor returns the mode that applies to the calls of an instance.
func (t *Table) modeFor(instance string) Mode {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m, ok := t.callerModes[instance]; ok {
		return m
	}
	return t.mode
}

// applyMode fails or delays a call as the mode requires. It returns true if the call has
// ended and must not be served.
func (t *Table) applyMode(w http.ResponseWriter, r *http.Request, mode Mode) bool {
	switch mode {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	case Silent:
		<-r.Context().Done()
		return true
	case Slow:
		time.Sleep(slowDelay)
	case Away:
		panic(http.ErrAbortHandler)
	case EndlessHead:
		standin.EndlessHeads[0].Send(w, "", endlessMost)
		return true
	case EndlessBody:
		rows := standin.Endless{Head: "HTTP/1.1 200 OK\r\n\r\n{\"rows\":[", Unit: `{"table":"servers"},`}
		rows.Send(w, "", endlessMost)
		return true
	case StalledFeed, NoList:
		if r.URL.Path == pathFeed || mode == NoList && r.URL.Query().Get("table") == "servers" {
			<-r.Context().Done()
			return true
		}
	case Well, Lost:
	}
	return false
}

// response is the JSON body of every response.
type response struct {
	Rows    []Row `json:"rows"`
	HasMore bool  `json:"has_more"`
	Ver     int64 `json:"ver"`
	NowMs   int64 `json:"now_ms"`
}

// reply sends rows, with the version of the latest write. The caller holds the lock.
func (t *Table) reply(w http.ResponseWriter, status int, rows []Row) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(response{Rows: rows, Ver: t.ver, NowMs: time.Since(t.startedAt).Milliseconds()}) // an error means that the caller has disconnected
}

// serveGet responds with the rows of one table and part, from a key on.
func (t *Table) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []Row{}
	for _, row := range t.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	t.reply(w, http.StatusOK, rows)
}

// serveFeed responds with the changes of a table after a version. If there are none, it
// waits for a change for at most wait_ms.
func (t *Table) serveFeed(w http.ResponseWriter, r *http.Request, instance string) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		t.mu.Lock()
		if after < t.trimmedTo || after > t.ver {
			t.reply(w, http.StatusGone, nil)
			t.mu.Unlock()
			return
		}
		rows := []Row{}
		for _, row := range t.log {
			if row.Ver > after && row.Table == q.Get("table") {
				rows = append(rows, row)
			}
		}
		if len(rows) > 0 {
			t.reply(w, http.StatusOK, rows)
			t.mu.Unlock()
			return
		}
		changed := t.changed
		t.mu.Unlock()
		select {
		case <-changed:
			if t.applyMode(w, r, t.modeFor(instance)) {
				return // the mode changed while the call waited
			}
		case <-r.Context().Done():
			return
		case <-deadline:
			t.mu.Lock()
			t.reply(w, http.StatusOK, rows)
			t.mu.Unlock()
			return
		}
	}
}

// transaction is the JSON body of a commit: its writes and removals are applied if the
// versions of all rows in Precondition are the present ones.
type transaction struct {
	Precondition []Row `json:"precondition"`
	Writes       []Row `json:"writes"`
	Remove       []Row `json:"remove"`
}

func (t *Table) serveTransaction(w http.ResponseWriter, r *http.Request, mode Mode) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range tx.Precondition {
		if t.rows[c.id()].Ver != c.Ver {
			t.reply(w, http.StatusPreconditionFailed, []Row{t.rows[c.id()]})
			return
		}
	}
	for _, row := range tx.Writes {
		row.Deleted = false
		t.write(row)
	}
	for _, row := range tx.Remove {
		row.Deleted = true
		t.write(row)
	}
	if mode == Lost {
		panic(http.ErrAbortHandler)
	}
	t.reply(w, http.StatusOK, []Row{})
}
