package usage

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/fencing"
	"github.com/chestnutdyke/chestnutdyke/state"
)

const (
	// tokensPerClaim is the number of fencing tokens that a claim reserves. All calls of a
	// holder have the first one, so that a call that is carried out late is not refused
	// because of a newer one of the same holder.
	tokensPerClaim = 1000
	// minWait is the time after the end of a window in which no report is sent, so that
	// statements that a server refused are no longer counted.
	minWait = 500 * time.Millisecond
	// settleShare is how long a report waits for VMs that do not answer, as a part of the
	// permitted delay. Many VMs that are suspended or cut off answer again within 6 s.
	settleShare = 0.6
	// minCollecting is how long a VM that was suspended, or has just been selected, asks the
	// others before it reports without the answers of some.
	minCollecting = 2 * time.Second
	// CallTimeout limits calls to the store and to the platform.
	CallTimeout = time.Second
	// maxUnverified is how long ago the store must have been asked for the record when a
	// report is sent. The record shows whether another VM has claimed the duty.
	maxUnverified = time.Second
	// takeOverDelay is the time after a claim in which the last call of the former holder
	// ends: it was sent up to maxUnverified after the claim.
	takeOverDelay = maxUnverified + CallTimeout + callMargin
	// callMargin is added to CallTimeout for a call that the platform receives late.
	callMargin = 250 * time.Millisecond
	// leaseMargin is added to the lease for the time that calls are on their way.
	leaseMargin = 250 * time.Millisecond
	// maxPendingWindows limits the windows in Record.Pending, so that the record stays within
	// a few KB for each hundred customers.
	maxPendingWindows = 4
	// contestedLeases is the number of leases after which a VM claims the duty again that
	// another VM took from it. VMs with different views would otherwise claim it in turns
	// without a report.
	contestedLeases = 3
)

// Record is the object in the store that names the holder of the duty. It contains the
// last report that was sent or is about to be sent, so that a new holder can repeat it.
type Record struct {
	Holder   string
	Token    uint64        // fencing token of the holder
	NextFree uint64        // lowest fencing token that is not reserved
	Era      uint64        // of the store when the record was written
	Length   time.Duration // of windows
	Window   int64         // windows up to this one may have been reported
	Counts   Counts        // of Window; nil if its report is not known
	// Pending are the counts of later windows, without those of VMs that were silent. They
	// remain if all VMs are lost before these windows can be reported.
	Pending []WindowCounts
	// Stored is the revision of the object, with the era of the answer that contained it;
	// zero if it does not exist yet.
	Stored state.Revision
}

// HasReport reports whether the record contains a report.
func (r *Record) HasReport() bool { return r.Counts != nil }

// pending returns the counts of the window in Pending; nil if there are none.
func (r *Record) pending(window int64) Counts {
	for _, p := range r.Pending {
		if p.Window == window {
			return p.Counts
		}
	}
	return nil
}

// Duty is the part of a VM in the duty to report usage. Its methods decide; the caller
// reads and writes the record and sends the reports. It is not safe for concurrent use.
type Duty struct {
	Name     string
	Settings Settings
	Started  time.Duration // clock reading at the start of the process

	record  Record // last record that this VM wrote; Holder is empty if there is none
	held    bool   // this VM holds the duty, as far as it knows
	refused bool   // the platform refused the token of record
	// No report is sent before these clock readings. takeOverEnds is when the last calls of
	// former holders have ended, leaseEnds when a lease has passed since this VM's own.
	takeOverEnds time.Duration
	leaseEnds    time.Duration
	former       string        // holder in the record that this VM claimed over
	formerToken  uint64        // fencing token of former
	verified     time.Duration // clock reading when the store was last asked for record and had it
	lastCall     time.Duration // clock reading of the latest call to the platform
	callOpen     bool          // the latest call to the platform had no answer
	lostAt       time.Duration // clock reading when another VM took the duty; zero if none did
	repeat       bool          // the report of record has not been accepted yet
	first        bool          // the prepared claim is that of the first holder
	fromStart    bool          // the record did not exist before: no operation is older than the VMs
}

// Held reports whether this VM holds the duty, as far as it knows.
func (d *Duty) Held() bool { return d.held }

// Token returns the fencing token of this VM.
func (d *Duty) Token() uint64 { return d.record.Token }

// Drop gives up the duty because another VM is selected.
func (d *Duty) Drop() { d.held, d.lostAt = false, 0 }

// WriteFailed makes this VM claim the duty again because a write of the record failed.
func (d *Duty) WriteFailed(now time.Duration) { d.lose(now) }

// Check drops the duty if another VM claimed it, as token, the highest fencing token that
// any VM knows, shows, or if the store has a new era.
func (d *Duty) Check(token, era uint64, now time.Duration) {
	switch {
	case token > d.record.Token:
		d.lose(now)
	case era > d.record.Era:
		d.held = false
	}
}

// PrepareClaim returns the record that claims the duty, given the present one. known is
// the highest fencing token that any VM knows, now the true time, and oldest that of the
// start of the oldest process whose counts were collected.
//
// The present record is valid if it was written in the present era of the store. Then all
// reports of later windows have yet to be sent, since each one is recorded before it is
// sent. If the store lost the record, this VM knows as much if it wrote the last one. If no
// VM knows of a holder, none was there since the oldest process started. Otherwise no
// window that has ended may be reported.
func (d *Duty) PrepareClaim(present Record, known uint64, now, oldest Time) Record {
	era := present.Stored.Era
	next := Record{
		Holder: d.Name, Era: era, Length: d.Settings.Window, Window: d.Settings.WindowAt(now) - 1, Stored: present.Stored,
		Token: max(present.NextFree, fencing.FirstToken(era), known+1),
	}
	d.first = present.Holder == "" && known == 0
	switch {
	case d.usable(&present) && present.Era == era:
		next.Window, next.Counts, next.Pending = present.Window, present.Counts, present.Pending
	case d.usable(&d.record) && d.record.Era < era && known <= d.record.Token:
		next.Window, next.Counts, next.Pending = d.record.Window, d.record.Counts, d.record.Pending
	case d.first:
		next.Window = d.Settings.WindowAt(min(oldest, now)) - 1
	}
	next.NextFree = next.Token + tokensPerClaim
	return next
}

// usable reports whether the record exists and has windows of the present length.
func (d *Duty) usable(r *Record) bool { return r.Holder != "" && r.Length == d.Settings.Window }

// Claimed records that the claim was written over the present record. stored is the
// revision of the claim. It reports false if the store had a new era when it was written;
// the duty is then to be claimed again.
//
// If another VM held the duty, or may have, this VM sends nothing until the calls of the
// former holder have ended, see EndTakeOver. If it held the duty before, it also waits for
// the lease, so that the duty does not move from it to another VM and back within that time.
func (d *Duty) Claimed(present, claim Record, stored state.Revision, sentAt, now time.Duration) bool {
	if stored.Era != claim.Era {
		return false
	}
	ours := present.Holder == d.Name && present.Token == d.record.Token && present.Era == claim.Era && !d.refused
	if !d.first && !ours {
		d.takeOverEnds, d.former, d.formerToken = now+takeOverDelay, present.Holder, present.Token
		d.leaseEnds = max(d.lastCall, d.Started) + d.Settings.Lease + leaseMargin
	}
	d.fromStart = d.first || d.fromStart && ours
	d.record, d.held, d.refused, d.verified, d.lostAt = claim, true, false, sentAt, 0
	d.record.Stored = stored
	d.repeat = claim.HasReport()
	return true
}

// Released reports whether this process held the duty and no longer does, and no call to
// the platform is under way, neither of its own nor of the holders before it. A process
// that never held it knows nothing of the calls of an earlier process of its VM.
func (d *Duty) Released(now time.Duration) bool {
	callEnds := d.lastCall
	if d.callOpen {
		callEnds += CallTimeout + callMargin
	}
	return !d.held && d.record.Token != 0 && now >= max(d.takeOverEnds, callEnds)
}

// EndTakeOver ends the wait for the calls of former holders if the last one has released
// the duty. releasedBy reports whether a VM has done so while it knew of the fencing token,
// or of a higher one. It cannot hold the duty again without writing the record.
func (d *Duty) EndTakeOver(releasedBy func(vm string, token uint64) bool, now time.Duration) {
	if d.held && now < d.takeOverEnds && releasedBy(d.former, d.formerToken) {
		d.takeOverEnds = now
	}
}

// Step is what the holder of the duty has to do next.
type Step uint8

// Values of Step.
const (
	Wait   Step = iota
	Write       // write the record of the next window, then call Recorded
	Verify      // read the record, then call Verified
	Send        // send the recorded report, then call Answered or Refused
)

// NextWindow returns the earliest window that has not been recorded.
func (d *Duty) NextWindow() int64 { return d.record.Window + 1 }

// Next returns the next step. collecting is how long this VM has been asking all VMs for
// their counts, and answered reports whether all have answered since a true time.
func (d *Duty) Next(clock time.Duration, now Time, collecting time.Duration, answered func(Time) bool) Step {
	switch {
	case !d.held || clock < max(d.takeOverEnds, d.leaseEnds):
		return Wait
	case d.repeat && clock-d.verified > maxUnverified:
		return Verify
	case d.repeat:
		return Send
	}
	end := d.Settings.End(d.NextWindow())
	late := now.Sub(end)
	if late >= minWait && (answered(end) || late >= d.settleTime() && collecting >= minCollecting) {
		return Write
	}
	return Wait
}

func (d *Duty) settleTime() time.Duration {
	return time.Duration(settleShare * float64(d.Settings.Delay))
}

// UnsavedWindows returns the ended windows with known counts that are neither recorded nor in
// Pending, if all VMs that are alive have answered since the end of the last one.
// coveredFrom is the true time from which on operations were counted.
func (d *Duty) UnsavedWindows(now, coveredFrom Time, aliveAnswered func(Time) bool) []int64 {
	last := d.Settings.WindowAt(now.Add(-minWait)) - 1
	if !d.held || !aliveAnswered(d.Settings.End(last)) {
		return nil
	}
	var windows []int64
	for w := max(d.NextWindow(), d.firstCovered(now, coveredFrom), last-maxPendingWindows+1); w <= last; w++ {
		if d.record.pending(w) == nil {
			windows = append(windows, w)
		}
	}
	return windows
}

// PrepareSave returns the record with the counts of further windows in Pending.
func (d *Duty) PrepareSave(counts []WindowCounts) Record {
	next := d.record
	next.Pending = slices.Concat(next.Pending, counts)
	next.Pending = next.Pending[max(len(next.Pending)-maxPendingWindows, 0):]
	return next
}

// Saved records that the record was written with the revision by a call that was sent at
// sentAt. It reports false if the store has a new era; the duty is then to be claimed again.
func (d *Duty) Saved(r Record, stored state.Revision, sentAt time.Duration) bool {
	if stored.Era != r.Era {
		d.held = false
		return false
	}
	d.record, d.verified = r, sentAt
	d.record.Stored = stored
	return true
}

// Skip skips the windows whose counts are not known, because they are too old or because
// all VMs have started since, and returns their number. Windows in Pending are not skipped.
// coveredFrom is the true time from which on operations were counted.
func (d *Duty) Skip(now, coveredFrom Time) int64 {
	earliest := d.firstCovered(now, coveredFrom)
	for _, p := range d.record.Pending {
		if p.Window > d.record.Window && now.Sub(d.Settings.End(p.Window)) < Retention {
			earliest = min(earliest, p.Window)
		}
	}
	if d.repeat && now.Sub(d.Settings.End(d.record.Window)) >= Retention {
		d.repeat = false
	}
	skipped := max(min(earliest, d.Settings.WindowAt(now))-d.NextWindow(), 0)
	if skipped > 0 && !d.repeat {
		d.record.Window += skipped
		d.record.Counts = nil
		return skipped
	}
	return 0
}

// firstCovered returns the first window whose counts are known.
func (d *Duty) firstCovered(now, coveredFrom Time) int64 {
	first := d.Settings.WindowAt(now.Add(-Retention)) + 1
	if !d.fromStart {
		first = max(first, d.Settings.WindowAt(coveredFrom.Add(d.Settings.Window-1)))
	}
	return first
}

// PrepareReport returns the record of the next window with the counts, or with those in
// Pending where they are higher: VMs that had counted the others may be lost since.
func (d *Duty) PrepareReport(counts Counts) Record {
	next := d.record
	next.Window, next.Counts = d.NextWindow(), make(Counts)
	maps.Copy(next.Counts, counts)
	for customer, n := range d.record.pending(next.Window) {
		next.Counts[customer] = max(next.Counts[customer], n)
	}
	next.Pending = slices.DeleteFunc(slices.Clone(next.Pending), func(p WindowCounts) bool { return p.Window <= next.Window })
	return next
}

// Recorded records that the record was written with the revision by a call that was sent at
// sentAt. The report may be sent only if it reports true: the record is in the present era
// of the store.
func (d *Duty) Recorded(r Record, stored state.Revision, sentAt time.Duration) bool {
	d.repeat = d.Saved(r, stored, sentAt)
	return d.repeat
}

// Verified records the present record, which the store was asked for at sentAt. It reports
// false if this VM no longer holds the duty.
func (d *Duty) Verified(present Record, sentAt, now time.Duration) bool {
	if present.Holder != d.Name || present.Token != d.record.Token || present.Window != d.record.Window || present.Stored.Era != d.record.Era {
		d.lose(now)
		return false
	}
	d.record.Stored, d.verified = present.Stored, sentAt
	return true
}

// lose makes this VM claim the duty again because another one may have taken it.
func (d *Duty) lose(now time.Duration) { d.held, d.lostAt = false, now }

// Report returns the recorded report, which is sent at the given time.
func (d *Duty) Report(now time.Duration) (window int64, counts Counts, token uint64) {
	d.lastCall, d.callOpen = now, true
	return d.record.Window, d.record.Counts, d.record.Token
}

// Answered records that the platform accepted the recorded report, or that it is not sent
// again.
func (d *Duty) Answered() { d.repeat, d.callOpen = false, false }

// Refused records that the platform refused the recorded report because it has seen a
// higher fencing token. Another VM may have acted.
func (d *Duty) Refused() { d.held, d.refused, d.callOpen = false, true, false }

// MayClaim reports whether this VM may claim the duty over the present record. reached says
// whether the holder in it is alive in the view of this VM. If a holder that is not reached
// took the duty from this VM, it waits: VMs with different views would otherwise claim the
// duty in turns without a report.
func (d *Duty) MayClaim(present Record, reached bool, now time.Duration) bool {
	taken := d.lostAt != 0 && present.Holder != d.Name && present.Token > d.record.Token
	return !taken || reached || now-d.lostAt >= contestedLeases*d.Settings.Lease
}
