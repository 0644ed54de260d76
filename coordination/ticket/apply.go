package ticket

import (
	"fmt"
	"slices"
	"time"
)

// Apply is the state machine that applies one ticket. It maps each result of a
// store operation to the next step, which the caller carries out.
//
//	step := a.Start()
//	for { switch step := step.(type) { ... step = a.Next(event) } }
type Apply struct {
	ticket         *Ticket
	acceptWarnings bool
	base           *Object // the state that the ticket was first checked against
	lostWrite      *uint64 // version required by a write whose answer was lost; nil if there is none
	writeVersion   uint64  // version required by the latest write
	writeSent      bool    // a write was sent
	failures       int     // consecutive failed steps
	changes        []Difference
	warnings       []Problem
}

// NewApply returns the state machine for one ticket. A ticket with warnings is
// applied only if acceptWarnings is set. Warnings concern requests that will be
// interrupted and conditions that only the operator can check.
func NewApply(t *Ticket, acceptWarnings bool) *Apply {
	return &Apply{ticket: t, acceptWarnings: acceptWarnings}
}

// Step is the caller's next action: Read, Write or Finish.
type Step interface{ step() }

// Read reads the stored object.
type Read struct {
	Failures int // consecutive failed steps; the caller backs off accordingly
}

// Write updates the stored object if it has the given version. Version 0
// requires that it does not exist.
type Write struct {
	Version uint64
	Object  *Object
}

// Finish ends the application.
type Finish struct{ Result Result }

func (Read) step()   {}
func (Write) step()  {}
func (Finish) step() {}

// Event is the result of a step.
type Event interface{ event() }

// Stored is the stored object, as read or as returned with a conflict. Object
// is nil and Version 0 if it does not exist.
type Stored struct {
	Version uint64
	Object  *Object
	At      time.Time // when it was received
}

// ReadFailed reports that the object could not be read.
type ReadFailed struct{ Reason string }

// Written reports that the update took effect.
type Written struct{}

// NotWritten reports that the update did not and will not take effect, for
// another reason than a conflict.
type NotWritten struct{ Reason string }

// WriteLost reports that the answer to the update was lost. The update may have
// taken effect, or may still do so.
type WriteLost struct{ Reason string }

// GiveUp ends the attempts, because the deadline passed or because the object
// cannot be decoded.
type GiveUp struct{ Reason string }

func (Stored) event()     {}
func (ReadFailed) event() {}
func (Written) event()    {}
func (NotWritten) event() {}
func (WriteLost) event()  {}
func (GiveUp) event()     {}

// Outcome is the final state of an application.
type Outcome int

// Outcomes.
const (
	Applied    Outcome = iota // the ticket took effect
	Invalid                   // not applied: the ticket is invalid
	Conflict                  // not applied: another operator's ticket came first
	NotApplied                // not applied, and will not be
	Unknown                   // may have been applied, or may still be
)

// Result is the final result of an application.
type Result struct {
	Outcome           Outcome
	Problems          []Problem    // Applied: warnings; Invalid: all problems
	Changes           []Difference // Applied by this run: the changes
	AppliedEarlier    bool         // Applied: by an earlier run
	ConflictingRecord Record       // Conflict: the other operator's ticket
	Reason            string       // Conflict, NotApplied, Unknown: explanation
}

// Start returns the first step.
func (a *Apply) Start() Step { return Read{} }

// Next returns the step that follows an event.
func (a *Apply) Next(e Event) Step {
	switch e := e.(type) {
	case Stored:
		a.failures = 0
		return a.handleStored(e)
	case Written:
		return Finish{Result{Outcome: Applied, Problems: a.warnings, Changes: a.changes}}
	case WriteLost:
		version := a.writeVersion
		a.lostWrite = &version
		return a.retryRead()
	case NotWritten, ReadFailed:
		return a.retryRead()
	case GiveUp:
		return a.giveUp(e.Reason)
	default:
		panic(fmt.Sprintf("unknown event %T", e))
	}
}

func (a *Apply) retryRead() Step {
	a.failures++
	return Read{Failures: a.failures}
}

// giveUp ends the application without a confirmed success. The outcome is
// Unknown while the store may still carry out a write whose answer was lost.
func (a *Apply) giveUp(reason string) Step {
	if a.lostWrite != nil {
		return Finish{Result{Outcome: Unknown, Reason: reason}}
	}
	return Finish{Result{Outcome: NotApplied, Reason: reason}}
}

func (a *Apply) handleStored(e Stored) Step {
	o := e.Object
	if o == nil {
		o = &Object{Config: EmptyConfig()}
	}
	if o.hasApplied(a.ticket) {
		return Finish{Result{Outcome: Applied, Problems: a.warnings, Changes: a.changes, AppliedEarlier: !a.writeSent}}
	}
	if a.lostWrite != nil && e.Version > *a.lostWrite {
		if o.mayHaveDropped(a.ticket.ID.Number) {
			return a.giveUp("the store no longer has the record of the ticket")
		}
		a.lostWrite = nil // its condition can no longer be met, and it did not take effect
	}
	if result := a.conflict(o); result != nil {
		return Finish{*result}
	}
	if a.base == nil {
		a.base = o
	}
	return a.write(e, o)
}

// conflict returns the result if another operator's ticket came first: a ticket
// with the same number, or one with a higher number or with changes to the same
// objects that was applied since this ticket was first checked.
func (a *Apply) conflict(o *Object) *Result {
	number := a.ticket.ID.Number
	if r := o.record(number); r != nil {
		return &Result{Outcome: Conflict, ConflictingRecord: *r, Reason: fmt.Sprintf("the number %d was taken", number)}
	}
	if a.base == nil {
		return nil
	}
	if o.Config.Ticket.Number >= number {
		return &Result{Outcome: Conflict, ConflictingRecord: o.latest(), Reason: fmt.Sprintf("a higher number than %d was taken", number)}
	}
	for _, ref := range a.ticket.Touched() {
		if !sameObject(a.base.Config, o.Config, ref) {
			return &Result{Outcome: Conflict, ConflictingRecord: o.changedBy(ref), Reason: fmt.Sprintf("%s was changed", ref)}
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
	a.writeVersion, a.writeSent = e.Version, true
	return Write{Version: e.Version, Object: o.append(a.ticket, merged, e.At)}
}

// hasApplied reports whether the ticket was applied to the object.
func (o *Object) hasApplied(t *Ticket) bool {
	if o.Config.Ticket == t.ID {
		return true
	}
	r := o.record(t.ID.Number)
	return r != nil && r.ID == t.ID
}

// mayHaveDropped reports whether a record with the number may have been
// dropped.
func (o *Object) mayHaveDropped(number uint64) bool {
	return len(o.Records) >= MaxRecords && number < o.Records[0].ID.Number
}

// changedBy returns the latest record that may have changed the referenced
// object.
func (o *Object) changedBy(ref Ref) Record {
	for _, r := range slices.Backward(o.Records) {
		if slices.Contains(r.Changed, ref.String()) || r.ChangedMore > 0 {
			return r
		}
	}
	return o.latest()
}
