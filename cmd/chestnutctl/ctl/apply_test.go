package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/coordination/ticket"
	"github.com/chestnutdyke/chestnutdyke/protocol/storeapi"
	"github.com/chestnutdyke/chestnutdyke/protocol/ticketfile"
	"github.com/chestnutdyke/chestnutdyke/transport/store"
)

// fakeStore is an in-memory configStore that can fail calls.
type fakeStore struct {
	mu     sync.Mutex // guards the fields below
	object storeapi.Object
	calls  int
	// fault returns how a call fails: "" for success, "before" or "after" it takes
	// effect. Calls are numbered from 1.
	fault func(call int) string
}

func (s *fakeStore) nextFault() string {
	s.calls++
	if s.fault == nil {
		return ""
	}
	return s.fault(s.calls)
}

func (s *fakeStore) Get(context.Context, string) (storeapi.Object, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextFault() != "" {
		return storeapi.Object{}, false, eris.New("no answer")
	}
	return s.object, s.object.Version > 0, nil
}

func (s *fakeStore) Put(_ context.Context, _ string, p storeapi.Put) store.PutResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := s.nextFault()
	if fault != "before" && p.Version == s.object.Version {
		s.object = storeapi.Object{Name: "config", Version: p.Version + 1, Value: p.Value}
		if fault == "" {
			return store.PutResult{Outcome: store.PutApplied}
		}
	}
	if fault != "" {
		return store.PutResult{Outcome: store.PutUnknown, Err: eris.New("answer lost")}
	}
	return store.PutResult{Outcome: store.PutConflict, Object: s.object}
}

func (s *fakeStore) records(t *testing.T) []ticket.Record {
	t.Helper()
	if s.object.Version == 0 {
		return nil
	}
	o, err := ticketfile.DecodeObjectForUpdate(s.object.Value)
	if err != nil {
		t.Fatal(err)
	}
	return o.Records
}

// ticketText returns a valid ticket that sets one customer.
func ticketText(number int, operator, customer string) string {
	return fmt.Sprintf(`ticket: %d
operator: %s
reason: test
customers:
  %s:
    rate: %d
    burst: 20
    keys: [{id: k, sha256: %x}]
    when_cut_off: {serve_for: always, reason: test}
`, number, operator, customer, 10+number, (customer + strings.Repeat(".", 32))[:32])
}

func runApply(ctx context.Context, s configStore, text string) ticket.Result {
	r := &applier{store: s, backoff: store.NewBackoff(rand.New(rand.NewPCG(1, 2)).Float64)}
	return r.run(ctx, ticket.NewApply(ticketfile.Parse("t.yaml", []byte(text)).Ticket, false))
}

// Guards against a ticket that is applied twice or reported as failed because the
// answer of the store to one of the calls was lost.
func TestLostAnswerAtEachStep(t *testing.T) {
	for call := 1; call <= 4; call++ {
		for _, kind := range []string{"before", "after"} {
			t.Run(fmt.Sprintf("call %d, %s its effect", call, kind), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := &fakeStore{}
					if r := runApply(t.Context(), s, ticketText(4, "brahim", "seffarine")); r.Outcome != ticket.Applied {
						t.Fatalf("first ticket: %+v", r)
					}
					s.fault = func(n int) string {
						if n-2 == call || n-2 == call+1 {
							return kind
						}
						return ""
					}
					r := runApply(t.Context(), s, ticketText(5, "amina", "talaa"))
					if records := s.records(t); r.Outcome != ticket.Applied || r.AppliedEarlier || len(records) != 2 || records[1].Operator != "amina" {
						t.Errorf("outcome %v (%s), earlier %v, records %v", r.Outcome, r.Reason, r.AppliedEarlier, records)
					}
				})
			})
		}
	}
}

// Guards against reporting "not applied" for an update that may still take effect,
// and against attempts after the deadline.
func TestDeadline(t *testing.T) {
	for name, test := range map[string]struct {
		from int // first call that fails
		want ticket.Outcome
	}{
		"before the update": {1, ticket.NotApplied},
		"from the update":   {2, ticket.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{fault: func(n int) string { return map[bool]string{true: "after"}[n >= test.from] }}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				start := time.Now()
				r := runApply(ctx, s, ticketText(5, "amina", "talaa"))
				if r.Outcome != test.want || r.Reason == "" || time.Since(start) != 10*time.Second || s.calls > 40 {
					t.Errorf("outcome %v (%q) after %v and %d calls", r.Outcome, r.Reason, time.Since(start), s.calls)
				}
			})
		})
	}
}

// Guards against two tickets with the same number, numbers out of order, and a
// wrong outcome or winner reported to an operator, when several operators apply
// tickets concurrently.
func TestOperatorsRace(t *testing.T) {
	const operators = 8
	for _, sameNumber := range []bool{true, false} {
		t.Run(fmt.Sprintf("same number %v", sameNumber), func(t *testing.T) {
			s := &fakeStore{}
			results := make([]ticket.Result, operators)
			var all sync.WaitGroup
			for i := range operators {
				number := 5
				if !sameNumber {
					number += i
				}
				all.Go(func() {
					results[i] = runApply(t.Context(), s, ticketText(number, fmt.Sprint("operator", i), fmt.Sprint("customer", i)))
				})
			}
			all.Wait()
			records := s.records(t)
			applied := make(map[string]bool)
			for i, r := range records {
				applied[r.Operator] = true
				if i > 0 && r.ID.Number <= records[i-1].ID.Number {
					t.Errorf("ticket %d was applied after ticket %d", r.ID.Number, records[i-1].ID.Number)
				}
			}
			for i, r := range results {
				// A lower number than that of an applied ticket is reported as invalid.
				lost := r.Outcome == ticket.Conflict && applied[r.ConflictingRecord.Operator] || r.Outcome == ticket.Invalid && !sameNumber
				if ok := applied[fmt.Sprint("operator", i)]; ok != (r.Outcome == ticket.Applied) || !ok && !lost {
					t.Errorf("operator %d: outcome %v, winner %q; records %v", i, r.Outcome, r.ConflictingRecord.Operator, records)
				}
			}
			if sameNumber && len(records) != 1 {
				t.Errorf("%d tickets were applied", len(records))
			}
		})
	}
}

// Guards against writing back an object of a newer release without the fields that
// this release does not know.
func TestNewerObjectIsNotWritten(t *testing.T) {
	value := json.RawMessage(`{"config":{"format":1,"number":3,"digest":"d","colour":"red"}}`)
	s := &fakeStore{object: storeapi.Object{Version: 1, Value: value}}
	if r := runApply(t.Context(), s, ticketText(5, "amina", "talaa")); r.Outcome != ticket.NotApplied || s.object.Version != 1 {
		t.Errorf("outcome %v, version %d", r.Outcome, s.object.Version)
	}
}
