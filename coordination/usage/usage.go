// Package usage decides how the fleet reports the usage of its customers: what counts as
// an operation, in which window of true time it began, when the report of a window is
// complete, and which reports a VM may send.
//
// Windows are numbered: window k begins k window lengths after the start of 1970 in true
// time. True time is an estimate over the clocks of the fleet. It is expressed as an
// offset to a VM's monotonic clock, so a change of that VM's time of day has no effect.
package usage

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// Settings say whether and how usage is reported. The zero value reports nothing.
type Settings struct {
	Window time.Duration // length of a window
	Delay  time.Duration // after the end of a window, in which its report must be accepted
	Lease  time.Duration // in which the duty must not move to another VM and back
	// CallsPerSecond limits the calls of all VMs for duties; zero means no limit.
	CallsPerSecond float64
}

// Enabled reports whether usage is counted and reported.
func (s Settings) Enabled() bool { return s.Window > 0 }

// Operation reports whether the statement is an operation of its customer once it runs at
// a server: a single statement or the first statement of a transaction. Commands of the
// proxy itself have no ID.
func Operation(w *statement.RemoteStatement) bool {
	if w.Command.ID == "" || w.Tx != 0 {
		return false
	}
	switch w.Command.Verb {
	case statement.Read, statement.Write, statement.Execute:
		return true
	}
	return false
}

// Time is a point of true time, in ns since the start of 1970.
type Time int64

// Add returns the time d later.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// WindowAt returns the number of the window that contains t.
func (s Settings) WindowAt(t Time) int64 {
	k := int64(t) / int64(s.Window)
	if int64(t)%int64(s.Window) < 0 {
		k--
	}
	return k
}

// End returns the end of a window.
func (s Settings) End(window int64) Time { return Time((window + 1) * int64(s.Window)) }

// Counts are the operations of each customer in a window.
type Counts map[string]int64
