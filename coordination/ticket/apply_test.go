package ticket

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// newTicket returns a valid ticket that sets one data centre.
func newTicket(number uint64, operator, dataCentre string) *Ticket {
	return &Ticket{
		ID:       state.TicketID{Number: number, Digest: fmt.Sprint(number, operator, dataCentre)},
		Operator: operator,
		Reason:   "test",
		DataCentres: map[string]*state.DataCentre{dataCentre: {Name: dataCentre, Region: operator, State: state.InService,
			VMs: []state.VM{{Name: "vm-" + dataCentre, Address: dataCentre + ":1", State: state.InService}}}},
	}
}

// applied returns the object after the tickets are applied, with its version.
func applied(t *testing.T, tickets ...*Ticket) Stored {
	t.Helper()
	s := Stored{}
	for _, next := range tickets {
		a := NewApply(next, false)
		w, ok := a.Next(s).(Write)
		if !ok {
			t.Fatalf("ticket %d of %s was not written", next.ID.Number, next.Operator)
		}
		s = Stored{Version: s.Version + 1, Object: w.Object}
	}
	return s
}

func finish(t *testing.T, s Step) Result {
	t.Helper()
	f, ok := s.(Finish)
	if !ok {
		t.Fatalf("got step %T, want Finish", s)
	}
	return f.Result
}

// Guards against a ticket that is reported as failed or applied twice because
// an answer was lost, and against one operator's ticket undoing another's
// changes.
func TestOutcomes(t *testing.T) {
	mine := newTicket(5, "amina", "rif")
	before := newTicket(4, "brahim", "atlas")
	tests := []struct {
		name   string
		events []Event
		want   Outcome
		reason string
	}{
		{"applied", []Event{applied(t, before), Written{}}, Applied, ""},
		{"applied earlier", []Event{applied(t, before, mine)}, Applied, ""},
		{"applied earlier, then another ticket", []Event{applied(t, mine, newTicket(6, "brahim", "atlas"))}, Applied, ""},
		{"lost answer, took effect", []Event{applied(t, before), WriteLost{}, applied(t, before, mine)}, Applied, ""},
		{"lost answer, took effect, then another ticket", []Event{applied(t, before), WriteLost{}, ReadFailed{}, applied(t, before, mine, newTicket(6, "brahim", "rif"))}, Applied, ""},
		{"lost answer, took effect, retry conflicts", []Event{applied(t, before), WriteLost{}, applied(t, before), applied(t, before, mine)}, Applied, ""},
		{"lost answer, no effect, retried", []Event{applied(t, before), WriteLost{}, applied(t, before), Written{}}, Applied, ""},
		{"lost answer, store unreachable", []Event{applied(t, before), WriteLost{}, ReadFailed{}, GiveUp{"deadline"}}, Unknown, "deadline"},
		{"lost answer, may still take effect", []Event{applied(t, before), WriteLost{}, applied(t, before), NotWritten{}, GiveUp{"deadline"}}, Unknown, "deadline"},
		{"lost answer, another ticket in its place", []Event{applied(t, before), WriteLost{}, applied(t, before, newTicket(5, "brahim", "souss"))}, Conflict, "the number 5 was taken"},
		{"lost answer, condition no longer met", []Event{applied(t), WriteLost{}, applied(t, before), NotWritten{}, GiveUp{"deadline"}}, NotApplied, "deadline"},
		{"store unreachable", []Event{ReadFailed{}, ReadFailed{}, GiveUp{"deadline"}}, NotApplied, "deadline"},
		{"not written", []Event{applied(t, before), NotWritten{}, ReadFailed{}, GiveUp{"deadline"}}, NotApplied, "deadline"},
		{"number taken", []Event{applied(t, newTicket(5, "brahim", "rif"))}, Conflict, "the number 5 was taken"},
		{"number passed before", []Event{applied(t, before, newTicket(7, "brahim", "rif"))}, Invalid, ""},
		{"conflict, lower number", []Event{applied(t), applied(t, before), Written{}}, Applied, ""},
		{"conflict, same number", []Event{applied(t, before), applied(t, before, newTicket(5, "brahim", "rif"))}, Conflict, "the number 5 was taken"},
		{"conflict, higher number", []Event{applied(t, before), applied(t, before, newTicket(6, "brahim", "souss"))}, Conflict, "a higher number than 5 was taken"},
		{"conflict, same object", []Event{applied(t), applied(t, newTicket(4, "brahim", "rif"))}, Conflict, "data_centres/rif was changed"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := NewApply(mine, false)
			step := a.Start()
			for _, e := range test.events {
				step = a.Next(e)
			}
			result := finish(t, step)
			if result.Outcome != test.want || result.Reason != test.reason {
				t.Errorf("got outcome %v, reason %q", result.Outcome, result.Reason)
			}
			if result.Outcome == Conflict && result.ConflictingRecord.Operator != "brahim" {
				t.Errorf("the conflicting record is %+v", result.ConflictingRecord)
			}
		})
	}
}

// Guards against the outcome "not applied" for a ticket whose record may have
// been dropped.
func TestRecordDropped(t *testing.T) {
	mine := newTicket(1, "amina", "rif")
	a := NewApply(mine, false)
	a.Next(Stored{})
	a.Next(WriteLost{})
	many := Stored{Version: 900, Object: &Object{Config: EmptyConfig()}}
	many.Object.Config.Ticket.Number = 900
	for n := range uint64(MaxRecords) {
		many.Object.Records = append(many.Object.Records, Record{ID: state.TicketID{Number: 801 + n}})
	}
	if got := finish(t, a.Next(many)).Outcome; got != Unknown {
		t.Errorf("got outcome %v, want Unknown", got)
	}
}

// Guards against records that grow until the store refuses the object.
func TestRecordsAreBounded(t *testing.T) {
	o := &Object{Config: EmptyConfig()}
	for n := range uint64(MaxRecords + 5) {
		ticket := &Ticket{ID: state.TicketID{Number: n + 1}, DataCentres: map[string]*state.DataCentre{}}
		for i := range MaxChanged + 7 {
			name := fmt.Sprint("dc", i)
			ticket.DataCentres[name] = &state.DataCentre{Name: name, Region: fmt.Sprint(n)}
		}
		o = o.append(ticket, Merge(o.Config, ticket), time.Unix(1, 5))
	}
	r := o.latest()
	if len(o.Records) != MaxRecords || len(r.Changed) != MaxChanged || r.ChangedMore != 7 || r.Time != time.Unix(1, 0).UTC() {
		t.Errorf("%d records, latest %+v", len(o.Records), r)
	}
}

// Guards against a VM that returns to an older configuration.
func TestCompare(t *testing.T) {
	have := state.TicketID{Number: 5, Digest: "a"}
	for offered, want := range map[state.TicketID]Order{
		{Number: 4, Digest: "b"}: Older, {Number: 5, Digest: "a"}: Same, {Number: 5, Digest: "b"}: Diverged, {Number: 6, Digest: "a"}: Newer, {}: Older,
	} {
		if got := Compare(have, offered); got != want {
			t.Errorf("offered %v: got %v, want %v", offered, got, want)
		}
	}
}

// model is a store that can lose answers and delay writes.
type model struct {
	stored  Stored
	delayed []Write // sent writes that have not arrived yet; their answers are lost
}

func (m *model) write(w Write) bool {
	if w.Version != m.stored.Version {
		return false
	}
	m.stored = Stored{Version: w.Version + 1, Object: w.Object}
	return true
}

// step carries out one step of an operator's run, possibly with a fault.
func (m *model) step(t *rapid.T, a *Apply, s Step) Step {
	fault := rapid.SampledFrom([]string{"", "", "lost", "late", "refused", "give up"}).Draw(t, "fault")
	if fault == "give up" && rapid.Bool().Draw(t, "really") {
		return a.Next(GiveUp{"deadline"})
	}
	w, isWrite := s.(Write)
	switch {
	case !isWrite && fault == "lost":
		return a.Next(ReadFailed{})
	case !isWrite:
		return a.Next(m.stored)
	case fault == "refused":
		return a.Next(NotWritten{})
	case fault == "late":
		m.delayed = append(m.delayed, w)
		return a.Next(WriteLost{})
	case fault == "lost":
		m.write(w)
		return a.Next(WriteLost{})
	case m.write(w):
		return a.Next(Written{})
	default:
		return a.Next(m.stored)
	}
}

// Guards against wrong outcomes when operators race over a store that loses
// answers: an outcome that contradicts the store's records, a number that is
// applied twice or out of order, and a state that its latest ticket did not
// set.
func TestRaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{}
		names := []string{"amina", "brahim", "chama"}
		applies, steps := make([]*Apply, len(names)), make([]Step, len(names))
		for i, name := range names {
			number := rapid.Uint64Range(1, 3).Draw(t, "number")
			applies[i] = NewApply(newTicket(number, name, rapid.SampledFrom([]string{"rif", "atlas"}).Draw(t, "object")), false)
			steps[i] = applies[i].Start()
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(names)-1).Draw(t, "operator")
			if _, done := steps[i].(Finish); !done {
				steps[i] = m.step(t, applies[i], steps[i])
			}
			if len(m.delayed) > 0 && rapid.Bool().Draw(t, "late write arrives") {
				m.write(m.delayed[0])
				m.delayed = m.delayed[1:]
			}
		}
		for _, w := range m.delayed {
			m.write(w)
		}
		m.check(t, applies, steps)
	})
}

func (m *model) check(t *rapid.T, applies []*Apply, steps []Step) {
	o := m.stored.Object
	if o == nil {
		o = &Object{Config: EmptyConfig()}
	}
	for i := 1; i < len(o.Records); i++ {
		if o.Records[i].ID.Number <= o.Records[i-1].ID.Number {
			t.Fatalf("ticket %v was applied after %v", o.Records[i].ID, o.Records[i-1].ID)
		}
	}
	for i, a := range applies {
		f, done := steps[i].(Finish)
		applied := o.hasApplied(a.ticket)
		switch {
		case !done || f.Result.Outcome == Unknown:
		case applied != (f.Result.Outcome == Applied):
			t.Fatalf("%s got outcome %v; records %v", a.ticket.Operator, f.Result.Outcome, o.Records)
		case f.Result.Outcome == Conflict && f.Result.ConflictingRecord.Operator == a.ticket.Operator:
			t.Fatalf("%s lost the race against itself", a.ticket.Operator)
		}
	}
	for name, dc := range o.Config.DataCentres {
		latest := ""
		for _, r := range o.Records {
			if strings.Contains(strings.Join(r.Changed, " "), name) {
				latest = r.Operator
			}
		}
		if dc.Region != latest {
			t.Fatalf("data centre %s has the state of %s, not of %s", name, dc.Region, latest)
		}
	}
}
