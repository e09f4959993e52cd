package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store as it travels.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// write is a row of the history with the time of its transaction.
type write struct {
	row
	at time.Time
}

// store is the platform's metadata store: rows, transactions and the feed of changes.
type store struct {
	mu      sync.Mutex
	history []write
	ver     int64
	era     int
	away    bool
	changed chan struct{}
	started time.Time
	server  *http.Server
	address string
}

// startStore starts a store on a loopback address.
func startStore(ip string) (*store, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{era: 1, changed: make(chan struct{}), started: time.Now(), address: ln.Addr().String()}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

// put writes a row as the operator or a server does and returns when the store accepted it. ok is false while
// the store is away.
func (s *store) put(table, key string, value any) (at time.Time, ok bool) {
	raw, err := json.Marshal(value)
	if err != nil {
		return at, false
	}
	return s.apply(row{Table: table, Key: key, Value: raw})
}

// remove deletes a row and returns when the store accepted that.
func (s *store) remove(table, key string) (at time.Time, ok bool) {
	return s.apply(row{Table: table, Key: key, Deleted: true})
}

func (s *store) apply(rows ...row) (at time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return at, false
	}
	at = time.Now()
	s.ver++
	for _, r := range rows {
		r.Ver = s.ver
		s.history = append(s.history, write{row: r, at: at})
	}
	s.signal()
	return at, true
}

// signal wakes the waiting feeds. The caller holds the lock.
func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// goAway makes the store drop all calls.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.signal()
}

// comeBack makes the store answer again, from a copy that is as old as the given time.
func (s *store) comeBack(copyAge time.Duration) (before, after int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.ver
	limit := time.Now().Add(-copyAge)
	s.history = slices.DeleteFunc(s.history, func(w write) bool { return w.at.After(limit) })
	s.ver = 0
	for _, w := range s.history {
		s.ver = max(s.ver, w.Ver)
	}
	s.away = false
	s.era++
	s.signal()
	return before, s.ver
}

// rows returns the current rows of a table in the order of their keys. The caller holds the lock.
func (s *store) rows(table, part string) []row {
	byKey := map[string]row{}
	for _, w := range s.history {
		if w.Table != table || w.Part != part {
			continue
		}
		if w.Deleted {
			delete(byKey, w.Key)
		} else {
			byKey[w.Key] = w.row
		}
	}
	out := make([]row, 0, len(byKey))
	for _, r := range byKey {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away := s.away
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/v1/rows-get":
		s.serveGet(w, r)
	case "/v1/rows-feed":
		s.serveFeed(w, r)
	case "/v1/rows-tx":
		s.serveTx(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// pageRows is the largest number of rows of one answer.
const pageRows = 500

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, to := q.Get("from"), q.Get("to")
	s.mu.Lock()
	list := slices.DeleteFunc(s.rows(q.Get("table"), q.Get("part")), func(r row) bool {
		return r.Key < from || to != "" && r.Key >= to
	})
	more := len(list) > pageRows
	list = list[:min(len(list), pageRows)]
	out := s.answer(list)
	s.mu.Unlock()
	out["has_more"] = more
	reply(w, http.StatusOK, out)
}

// answer returns the body of an answer about rows. The caller holds the lock.
func (s *store) answer(list []row) map[string]any {
	if list == nil {
		list = []row{}
	}
	return map[string]any{"rows": list, "ver": s.ver, "now_ms": time.Since(s.started).Milliseconds()}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller has left
}

// serveFeed answers with the changes after a version, in order, as soon as there is one.
func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	end := time.NewTimer(time.Duration(min(waitMS, 30_000)) * time.Millisecond)
	defer end.Stop()
	for ended := false; ; {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after > s.ver {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		var list []row
		for _, c := range s.history {
			if c.Ver > after && c.Table == q.Get("table") {
				list = append(list, c.row)
			}
		}
		if len(list) > 0 || ended {
			out := s.answer(list)
			s.mu.Unlock()
			reply(w, http.StatusOK, out)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// serveTx applies a transaction, or refuses it if a precondition does not hold.
func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Precondition, Writes, Remove []row
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var changes []row
	for _, c := range tx.Writes {
		changes = append(changes, row{Table: c.Table, Part: c.Part, Key: c.Key, Value: c.Value})
	}
	for _, c := range tx.Remove {
		changes = append(changes, row{Table: c.Table, Part: c.Part, Key: c.Key, Deleted: true})
	}
	if slices.ContainsFunc(changes, func(c row) bool { return c.Table == "op" || c.Table == "servers" }) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	for _, p := range tx.Precondition {
		ver := int64(0)
		for _, have := range s.rows(p.Table, p.Part) {
			if have.Key == p.Key {
				ver = have.Ver
			}
		}
		if ver != p.Ver {
			out := s.answer(nil)
			s.mu.Unlock()
			reply(w, http.StatusPreconditionFailed, out)
			return
		}
	}
	s.mu.Unlock() // only the system writes its own tables, one row for each process
	if _, ok := s.apply(changes...); !ok {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	out := s.answer(nil)
	s.mu.Unlock()
	reply(w, http.StatusOK, out)
}
