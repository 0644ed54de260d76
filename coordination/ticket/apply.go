package ticket

import (
	"fmt"
	"slices"
	"time"
)

// Apply decides how the application of one ticket goes on: it turns what the
// store answered into the next step. The caller carries the steps out.
//
//	step := a.Start()
//	for { switch step := step.(type) { ... step = a.Next(event) } }
type Apply struct {
	ticket         *Ticket
	acceptWarnings bool
	first          *Object // the state that the ticket was first checked against
	uncertain      *uint64 // version that a write with a lost answer depends on; nil if there is none
	written        uint64  // version that the latest write depends on
	sent           bool    // a write was sent
	failures       int     // failed steps in a row
	changes        []Difference
	warnings       []Problem
}

// NewApply returns the decisions for one ticket. A ticket with warnings is
// applied only if acceptWarnings is set: they tell of requests that will be
// interrupted and of conditions that only the operator can check.
func NewApply(t *Ticket, acceptWarnings bool) *Apply {
	return &Apply{ticket: t, acceptWarnings: acceptWarnings}
}

// A Step is what the caller does next: Read, Write or Finish.
type Step interface{ step() }

// Read asks for the store's object.
type Read struct {
	Failures int // failed steps in a row; the caller waits longer with each
}

// Write asks for an update of the store's object, on the condition that it has
// the version. Version 0 means that it must not exist.
type Write struct {
	Version uint64
	Object  *Object
}

// Finish ends the application.
type Finish struct{ Result Result }

func (Read) step()   {}
func (Write) step()  {}
func (Finish) step() {}

// An Event is what came of a step.
type Event interface{ event() }

// Stored is the store's object, as read or as returned with a conflict. Object
// is nil and Version 0 if it does not exist.
type Stored struct {
	Version uint64
	Object  *Object
	At      time.Time // when it was received
}

// ReadFailed says that the object could not be read.
type ReadFailed struct{ Reason string }

// Written says that the update took effect.
type Written struct{}

// NotWritten says that the update was not and will not be carried out, for
// another reason than a conflict.
type NotWritten struct{ Reason string }

// WriteLost says that no answer to the update arrived. It may have taken effect,
// or may still.
type WriteLost struct{ Reason string }

// GiveUp ends the attempts, because the deadline passed or because the object
// cannot be understood.
type GiveUp struct{ Reason string }

func (Stored) event()     {}
func (ReadFailed) event() {}
func (Written) event()    {}
func (NotWritten) event() {}
func (WriteLost) event()  {}
func (GiveUp) event()     {}

// Outcome says how an application ended.
type Outcome int

// Outcomes.
const (
	Applied  Outcome = iota // the ticket took effect
	Invalid                 // it did not; it is not valid
	LostRace                // it did not; another operator's ticket came first
	NotDone                 // it did not, and will not
	Unknown                 // it may have, or may still
)

// Result is the end of an application.
type Result struct {
	Outcome  Outcome
	Problems []Problem    // Applied: warnings; Invalid: everything found
	Changes  []Difference // Applied by this run: what changed
	Earlier  bool         // Applied: an earlier run had done it
	Winner   Record       // LostRace: the other operator's ticket
	Reason   string       // LostRace, NotDone, Unknown: in words
}

// Start returns the first step.
func (a *Apply) Start() Step { return Read{} }

// Next returns the step that follows an event.
func (a *Apply) Next(e Event) Step {
	switch e := e.(type) {
	case Stored:
		a.failures = 0
		return a.stored(e)
	case Written:
		return Finish{Result{Outcome: Applied, Problems: a.warnings, Changes: a.changes}}
	case WriteLost:
		version := a.written
		a.uncertain = &version
		return a.readAgain()
	case NotWritten, ReadFailed:
		return a.readAgain()
	case GiveUp:
		return a.giveUp(e.Reason)
	default:
		panic(fmt.Sprintf("unknown event %T", e))
	}
}

func (a *Apply) readAgain() Step {
	a.failures++
	return Read{Failures: a.failures}
}

// giveUp ends without knowledge of a success. While the store may still carry
// out a lost write, nobody can say that the ticket will not take effect.
func (a *Apply) giveUp(reason string) Step {
	if a.uncertain != nil {
		return Finish{Result{Outcome: Unknown, Reason: reason}}
	}
	return Finish{Result{Outcome: NotDone, Reason: reason}}
}

func (a *Apply) stored(e Stored) Step {
	o := e.Object
	if o == nil {
		o = &Object{Config: EmptyConfig()}
	}
	if o.holds(a.ticket) {
		return Finish{Result{Outcome: Applied, Problems: a.warnings, Changes: a.changes, Earlier: !a.sent}}
	}
	if a.uncertain != nil && e.Version > *a.uncertain {
		if o.forgot(a.ticket.ID.Number) {
			return a.giveUp("the store no longer has the record of the ticket")
		}
		a.uncertain = nil // its condition can no longer be met, and it did not take effect
	}
	if lost := a.lostRace(o); lost != nil {
		return Finish{*lost}
	}
	if a.first == nil {
		a.first = o
	}
	return a.write(e, o)
}

// lostRace returns the result if another operator's ticket came first: it has
// the same number, or it has a higher one or changed the same objects since the
// ticket was first checked.
func (a *Apply) lostRace(o *Object) *Result {
	number := a.ticket.ID.Number
	if r := o.record(number); r != nil {
		return &Result{Outcome: LostRace, Winner: *r, Reason: fmt.Sprintf("the number %d was taken", number)}
	}
	if a.first == nil {
		return nil
	}
	if o.Config.Ticket.Number >= number {
		return &Result{Outcome: LostRace, Winner: o.latest(), Reason: fmt.Sprintf("a higher number than %d was taken", number)}
	}
	for _, ref := range a.ticket.Touched() {
		if !sameObject(a.first.Config, o.Config, ref) {
			return &Result{Outcome: LostRace, Winner: o.changedBy(ref), Reason: fmt.Sprintf("%s was changed", ref)}
		}
	}
	return nil
}

func (a *Apply) write(e Stored, o *Object) Step {
	merged, problems := Check(o.Config, a.ticket)
	if HasErrors(problems) || len(problems) > 0 && !a.acceptWarnings {
		return Finish{Result{Outcome: Invalid, Problems: problems}}
	}
	a.warnings, a.changes = problems, Diff(o.Config, merged)
	a.written, a.sent = e.Version, true
	return Write{Version: e.Version, Object: o.append(a.ticket, merged, e.At)}
}

// holds reports whether the ticket was applied to the object.
func (o *Object) holds(t *Ticket) bool {
	if o.Config.Ticket == t.ID {
		return true
	}
	r := o.record(t.ID.Number)
	return r != nil && r.ID == t.ID
}

// forgot reports whether a record of the number may have been dropped.
func (o *Object) forgot(number uint64) bool {
	return len(o.Records) >= MaxRecords && number < o.Records[0].ID.Number
}

// changedBy returns the latest record that may have changed the object.
func (o *Object) changedBy(ref Ref) Record {
	for _, r := range slices.Backward(o.Records) {
		if slices.Contains(r.Changed, ref.String()) || r.ChangedMore > 0 {
			return r
		}
	}
	return o.latest()
}
