package apply

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/table"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// The behaviours of a store on a commit. All but the first report the outcome
// as unknown.
const (
	commits       = iota // the transaction is executed and its result returned
	losesResponse        // the transaction is executed, but its result is lost
	losesWrite           // the transaction is not executed
	appliesLater         // the transaction is executed later, by applyLateWrites
	outage               // the transaction is executed, and reads fail until down is reset
	behaviourCount
)

// store is a fake table and object store. Each commit takes its behaviour from
// the script; after the script's end all commits succeed.
type store struct {
	script  []int
	rows    map[string]table.Row
	version int64 // version of the last row written
	objects map[string][]byte
	// lateWrites holds the transactions that applyLateWrites will execute.
	lateWrites []table.Tx
	// down makes reads fail.
	down bool
	// history lists all pointers that have been in force, in order.
	history []core.ConfigPointer
}

func newStore(script ...int) *store {
	return &store{script: script, rows: map[string]table.Row{}, objects: map[string][]byte{}}
}

func (s *store) Commit(_ context.Context, tx table.Tx) table.Result {
	behaviour := commits
	if len(s.script) > 0 {
		behaviour, s.script = s.script[0], s.script[1:]
	}
	switch behaviour {
	case losesResponse:
		s.commit(tx)
	case outage:
		s.commit(tx)
		s.down = true
	case appliesLater:
		s.lateWrites = append(s.lateWrites, tx)
	case commits:
		return s.commit(tx)
	}
	return table.Result{Status: table.Unknown}
}

func (s *store) commit(tx table.Tx) table.Result {
	for _, c := range tx.Conds {
		if s.rows[c.Key].Version != c.Version {
			return table.Result{Status: table.Conflict}
		}
	}
	for _, w := range tx.Writes {
		s.version++
		s.rows[w.Key] = table.Row{Key: w.Key, Version: s.version, Value: w.Value}
	}
	if st, err := readState(context.Background(), s); err == nil {
		s.history = append(s.history, st.pointer)
	}
	return table.Result{Status: table.Committed}
}

var errDown = errors.New("store is down")

func (s *store) Read(_ context.Context, keys []string) ([]table.Row, error) {
	if s.down {
		return nil, errDown
	}
	var rows []table.Row
	for _, k := range keys {
		row := s.rows[k]
		row.Key = k
		rows = append(rows, row)
	}
	return rows, nil
}

func (s *store) Get(_ context.Context, name string) ([]byte, error) { return s.objects[name], nil }

func (s *store) Put(_ context.Context, name string, data []byte) error {
	s.objects[name] = data
	return nil
}

// applyLateWrites executes the delayed transactions. Those whose conditions no
// longer hold have no effect.
func (s *store) applyLateWrites() {
	for _, tx := range s.lateWrites {
		s.commit(tx)
	}
	s.lateWrites = nil
}

// timesApplied returns how often the apply with this id has taken effect.
func (s *store) timesApplied(id string) (n int) {
	for _, p := range s.history {
		if p.ApplyID == id {
			n++
		}
	}
	return n
}

// request returns an apply of a valid configuration; different values of ttl
// make different configurations.
func request(id string, base int64, ttl int) Request {
	text := fmt.Sprintf("deployment: {name: t, regions: {r: [a]}, entry_ttl: %ds, stream_key: a-key-that-is-long-enough-to-sign-with}", ttl+1)
	return Request{Files: []config.File{{Name: "t.yaml", Data: []byte(text)}}, Operator: "op-" + id, ApplyID: id, Base: base}
}

// Three operators apply concurrently, responses are lost, writes are applied
// late and operators repeat their applies. Every reported outcome must be true: an
// apply reported as applied took effect exactly once, an apply reported as a
// conflict never takes effect, and no repeat restores an older configuration.
func TestPromise7PropertyReportedApplyOutcomesAreTrue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		properties := gopter.NewProperties(testkit.Parameters())
		properties.Property("reported outcomes are true", prop.ForAll(func(script, steps []int) string {
			s := newStore(script...)
			last := map[int]Request{}
			reported := map[string]error{}
			for n, code := range steps {
				operator, repeat, base := code%3, code/3%2 == 1, int64(-1)
				req, ok := last[operator]
				if !repeat || !ok {
					if code/6%2 == 1 && len(s.history) > 0 {
						base = s.history[len(s.history)-1].Number - int64(code/12%2) // the version in force, or the one before
					}
					req = request(fmt.Sprintf("%d-%d", operator, n), base, n)
				}
				s.down = false
				_, err := Apply(context.Background(), s, req)
				s.down = false
				var undecided *Undecided
				if errors.As(err, &undecided) {
					req.Base = undecided.Base // for the repeat, as the error message instructs
				} else {
					reported[req.ApplyID] = err
				}
				last[operator] = req
				if code/24%2 == 1 {
					s.applyLateWrites()
				}
				if violation := s.violation(reported); violation != "" {
					return violation
				}
			}
			s.applyLateWrites()
			return s.violation(reported)
		}, gen.SliceOf(gen.IntRange(0, behaviourCount-1)), gen.SliceOf(gen.IntRange(0, 47))))
		properties.TestingRun(t)
	})
}

// violation compares the outcomes reported to operators, by apply id, with the
// history of pointers in force. It describes the first contradiction, or returns
// "" if there is none.
func (s *store) violation(reported map[string]error) string {
	for n, p := range s.history {
		if p.Number != int64(n+1) {
			return fmt.Sprintf("version number = %d, want %d", p.Number, n+1)
		}
		if s.timesApplied(p.ApplyID) != 1 {
			return fmt.Sprintf("apply %s took effect %d times, want 1", p.ApplyID, s.timesApplied(p.ApplyID))
		}
	}
	for id, err := range reported {
		var conflict *Conflict
		if err == nil && s.timesApplied(id) != 1 {
			return fmt.Sprintf("apply %s was reported as applied but took effect %d times, want 1", id, s.timesApplied(id))
		}
		if errors.As(err, &conflict) && s.timesApplied(id) != 0 {
			return fmt.Sprintf("apply %s was reported as a conflict but took effect", id)
		}
	}
	return ""
}

// An apply takes effect but its response is lost, and another operator applies
// afterwards. The first operator then repeats the apply, as the error message
// instructs. The repeat must report that the apply took effect, and must leave
// the other operator's configuration in force.
func TestPromise7RepeatedApplyDoesNotRevert(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore(outage)
		ctx := context.Background()
		first := request("first", -1, 1)
		var undecided *Undecided
		if _, err := Apply(ctx, s, first); !errors.As(err, &undecided) {
			t.Fatalf("error = %v, want *Undecided", err)
		}
		s.down = false
		second, err := Apply(ctx, s, request("second", -1, 2))
		if err != nil || second.Number != 2 {
			t.Fatalf("second apply = %+v, error = %v; want version 2", second, err)
		}
		repeat, err := Apply(ctx, s, first)
		if err != nil || repeat.Number != 1 || len(s.history) != 2 {
			t.Errorf("repeated apply = %+v, error = %v, versions written = %d; want version 1 and 2 versions written", repeat, err, len(s.history))
		}
	})
}

// An operator applies a change based on version 1 while version 2 is in force.
// The conflict must name the operator and the apply id of version 2.
func TestPromise7ConflictNamesTheOtherOperator(t *testing.T) {
	s := newStore()
	ctx := context.Background()
	for _, id := range []string{"a", "b"} {
		if _, err := Apply(ctx, s, request(id, -1, 1)); err != nil {
			t.Fatal(err)
		}
	}
	_, err := Apply(ctx, s, request("c", 1, 2))
	var conflict *Conflict
	if !errors.As(err, &conflict) || *conflict != (Conflict{Number: 2, Operator: "op-b", ApplyID: "b"}) {
		t.Errorf("error = %v, want a conflict with version 2 by op-b", err)
	}
}

// Cordon changes and applies alternate, and responses and writes are lost. No change may undo
// another, a repeated id must not make a second change, and applying a configuration must leave
// the cordons as they are.
func TestPromise7CordonsAndAppliesLeaveEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore(commits, commits, losesResponse, commits, losesWrite)
		if _, err := Cordon(t.Context(), s, CordonRequest{DataCentre: "a", ApplyID: "early"}); !errors.Is(err, errNoConfig) {
			t.Errorf("cordon before the first configuration: error = %v, want errNoConfig", err)
		}
		for _, step := range []func() (core.ConfigPointer, error){
			func() (core.ConfigPointer, error) { return Apply(t.Context(), s, request("1", -1, 1)) },
			func() (core.ConfigPointer, error) {
				return Cordon(t.Context(), s, CordonRequest{DataCentre: "b", ApplyID: "2"})
			},
			func() (core.ConfigPointer, error) {
				return Cordon(t.Context(), s, CordonRequest{DataCentre: "a", ApplyID: "3"})
			},
			func() (core.ConfigPointer, error) { return Apply(t.Context(), s, request("4", -1, 2)) },
		} {
			if _, err := step(); err != nil {
				t.Fatal(err)
			}
		}
		p, err := InForceNow(t.Context(), s)
		if err != nil || fmt.Sprint(p.Cordoned) != "[a b]" || p.Number != 4 {
			t.Errorf("pointer in force = %+v, error = %v; want version 4 with a and b cordoned", p, err)
		}
		if p, err = Cordon(t.Context(), s, CordonRequest{DataCentre: "a", ApplyID: "3"}); err != nil || p.Number != 3 {
			t.Errorf("cordon with a repeated id = %+v, error = %v; want version 3", p, err)
		}
		var undecided *Undecided
		if _, err = Cordon(t.Context(), s, CordonRequest{DataCentre: "a", Lift: true, ApplyID: "5"}); !errors.As(err, &undecided) {
			t.Errorf("uncordon whose write was lost: error = %v, want *Undecided", err)
		}
		if p, err = Cordon(t.Context(), s, CordonRequest{DataCentre: "a", Lift: true, ApplyID: "5"}); err != nil || fmt.Sprint(p.Cordoned) != "[b]" {
			t.Errorf("uncordon repeated after a lost write = %+v, error = %v; want only b cordoned", p, err)
		}
		if p, err = Cordon(t.Context(), s, CordonRequest{DataCentre: "b", ApplyID: "6"}); err != nil || p.Number != 5 {
			t.Errorf("cordon of a cordoned data centre = %+v, error = %v; want version 5 unchanged", p, err)
		}
	})
}
