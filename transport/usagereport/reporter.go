// Package usagereport collects the usage counts of all VMs and reports them to the
// platform. Package usage decides.
package usagereport

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/coordination/usage"
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

const (
	tickInterval = 100 * time.Millisecond
	// claimDelay is how long a VM must have been selected before it claims the duty, so
	// that short differences between the views of VMs do not move it.
	claimDelay = 700 * time.Millisecond
	// retryDelay separates attempts of calls that failed.
	retryDelay = time.Second
	// minCallSpacing separates reports when several are due.
	minCallSpacing = 250 * time.Millisecond
	// callShare is the part of the permitted rate of calls that reports may use. The rest
	// is for orders to promote.
	callShare = 0.5
)

// Platform receives reports.
type Platform interface {
	// ReportUsage reports the counts of a window. If it fails with ErrRefused, the
	// platform has seen a higher fencing token; if it fails with ErrInvalid, the report
	// will never be accepted. After any other error it may have been accepted, or may
	// still be.
	ReportUsage(ctx context.Context, window int64, counts usage.Counts, holder string, token uint64) error
}

// ErrRefused states that the platform refused a report because of its fencing token.
var ErrRefused = eris.New("the platform refused the report")

// ErrInvalid states that the platform does not accept the report.
var ErrInvalid = eris.New("the platform does not accept the report")

// Store holds the record of the duty.
type Store interface {
	// ReadUsage returns the present record. If there is none, only the era of the store
	// is set.
	ReadUsage(ctx context.Context) (usage.Record, error)
	// WriteUsage replaces the record if its revision still is r.Stored, and returns the new
	// revision. The era of the revision is that of the store when it answered.
	WriteUsage(ctx context.Context, r usage.Record) (state.Revision, error)
}

// Links is the part of the links to other VMs that a Reporter uses.
type Links interface {
	Call(vm string, kind fleetwire.Kind, body []byte, done func(fleetwire.Frame, bool)) bool
	Peers() []fleetwire.Status
	View() *placement.View
}

// Options are the dependencies of a Reporter.
type Options struct {
	Name        string
	Incarnation int64 // of this process
	Settings    usage.Settings
	Links       Links
	Store       Store
	Platform    Platform
	// Era returns the highest era of the store that this VM knows; nil if there are none.
	Era func() uint64
	// TimeOfDay returns the time of day; nil means time.Now.
	TimeOfDay func() time.Time
	Logger    log.Interface
	Scope     tally.Scope
}

// Reporter counts the operations of a VM, answers other VMs that ask for the counts and,
// while its VM holds the duty, reports those of all VMs. It must be created with New.
type Reporter struct {
	Options
	counter    *usage.Counter
	collection *usage.Collection
	started    time.Duration
	heldToken  atomic.Uint64 // fencing token while this VM holds the duty, otherwise zero
	released   atomic.Bool   // see fleetwire.UsageReply; false while this VM claims the duty
	pushed     atomic.Uint64 // number of the latest change that the coordinator has from this VM
	collecting atomic.Int64  // clock reading in ns since which this VM asks all others without a gap; zero if it does not
	lastRound  atomic.Int64  // clock reading in ns of the latest round of requests
	outcomes   map[outcome]tally.Counter

	// The fields below are used by the goroutine of report only.
	duty          usage.Duty
	selectedSince time.Duration // zero while another VM is selected
	nextClaim     time.Duration // earliest time of the next claim
	nextCall      time.Duration // earliest time of the next call to the platform
	nextSave      time.Duration // earliest time at which pending windows are recorded again
	warnedWindow  int64         // window of the latest warning that a report was not accepted

	mu       lockrank.Mutex // guards the fields below
	peers    map[usage.Source]peerClock
	releases map[string]release // by VM
}

// peerClock is what this VM knows of the clocks of another one.
type peerClock struct {
	at        time.Duration // when it was learned
	offset    time.Duration // of this VM's monotonic clock to that of the other one
	timeOfDay time.Duration // difference of the other VM's time of day and this VM's monotonic clock
}

// release is the latest answer of a VM that has released the duty.
type release struct {
	at    time.Duration // when it arrived
	token uint64        // highest fencing token that the VM knew then
}

// outcome is what happened to a window.
type outcome string

const (
	outcomeReported outcome = "reported"
	outcomeLate     outcome = "late" // reported after the permitted delay
	outcomeSkipped  outcome = "skipped"
	outcomeRefused  outcome = "refused" // a call, which may be repeated with a higher token
)

// New returns a Reporter. Run must be called to collect and report.
func New(o Options) *Reporter {
	if o.Era == nil {
		o.Era = func() uint64 { return 0 }
	}
	if o.TimeOfDay == nil {
		o.TimeOfDay = time.Now
	}
	r := &Reporter{
		Options: o, counter: usage.NewCounter(o.Settings), collection: usage.NewCollection(o.Settings), started: clock.Now(),
		outcomes: make(map[outcome]tally.Counter), duty: usage.Duty{Name: o.Name, Settings: o.Settings, Started: clock.Now()},
		mu: lockrank.New(lockrank.Counters), peers: make(map[usage.Source]peerClock), releases: make(map[string]release),
	}
	for _, name := range []outcome{outcomeReported, outcomeLate, outcomeSkipped, outcomeRefused} {
		r.outcomes[name] = o.Scope.Tagged(map[string]string{"outcome": string(name)}).Counter("usage_windows")
	}
	return r
}

// Run collects and reports until ctx is done.
func (r *Reporter) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.runCollect(ctx) })
	g.Go(func() error { return r.runReport(ctx) })
	return g.Wait()
}

// trueTime returns the true time, if it is known.
func (r *Reporter) trueTime() (usage.Time, bool) {
	offset, known := r.counter.Offset()
	return usage.Time(clock.Now() + offset), known
}

func (r *Reporter) runReport(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if r.selected() {
			r.report(ctx)
		}
		r.publishDuty()
	}
}

// publishDuty makes the state of the duty known to the goroutines that handle messages.
func (r *Reporter) publishDuty() {
	token := uint64(0)
	if r.duty.Held() {
		token = r.duty.Token()
	}
	r.heldToken.Store(token)
	r.released.Store(r.duty.Released(clock.Now()))
}

// selected reports whether this VM has been selected to report for claimDelay. While no VM
// can reach the store, the holder keeps the duty. A VM that reaches no majority of the VMs
// would report a part of the operations only.
func (r *Reporter) selected() bool {
	view := r.Links.View()
	if !view.StoreReached() {
		return r.duty.Held()
	}
	if view.FailoverCoordinator() != r.Name || view.InMinority() {
		if r.duty.Held() {
			r.Logger.Info("usage: this VM no longer reports usage.")
		}
		r.duty.Drop()
		r.selectedSince = 0
		return false
	}
	now := clock.Now()
	if r.selectedSince == 0 {
		r.selectedSince = now
	}
	return now-r.selectedSince >= claimDelay
}

// report takes the next step of the duty.
func (r *Reporter) report(ctx context.Context) {
	now, known := r.trueTime()
	if !known {
		return
	}
	if r.duty.Held() {
		r.duty.Check(r.counter.Token(), r.Era(), clock.Now())
	}
	if !r.duty.Held() && !r.claim(ctx) {
		return
	}
	r.duty.EndTakeOver(r.releasedBy, clock.Now())
	r.skip(now)
	step := r.next(now)
	if step == usage.Wait || clock.Now() < r.nextCall {
		r.save(ctx, now)
		return
	}
	switch step {
	case usage.Write:
		r.write(ctx)
	case usage.Verify:
		r.verify(ctx)
	case usage.Send:
		r.send(ctx)
	}
}

// next returns the next step of the duty.
func (r *Reporter) next(now usage.Time) usage.Step {
	return r.duty.Next(clock.Now(), now, r.collectingFor(), func(at usage.Time) bool { return r.answeredSince(at, false) })
}

// claim claims the duty and reports whether this VM holds it.
func (r *Reporter) claim(ctx context.Context) bool {
	if clock.Now() < r.nextClaim || !r.Links.View().Listed {
		return false
	}
	r.nextClaim = clock.Now() + retryDelay
	// Other VMs may know of the new token before this one knows that it holds the duty.
	r.released.Store(false)
	ctx, cancel := context.WithTimeout(ctx, usage.CallTimeout)
	defer cancel()
	present, err := r.Store.ReadUsage(ctx)
	if err != nil {
		r.Logger.WithError(err).Warn("usage: the record of reports cannot be read.")
		return false
	}
	r.counter.RecordToken(present.Token)
	reached := slices.ContainsFunc(r.Links.View().VMs, func(vm placement.VM) bool { return vm.Alive && vm.Name == present.Holder })
	if !r.duty.MayClaim(present, reached, clock.Now()) {
		return false
	}
	sentAt := clock.Now()
	now, _ := r.trueTime()
	oldest, known := r.collection.CoveredFrom()
	if !known {
		return false // no VM has answered yet
	}
	claim := r.duty.PrepareClaim(present, r.counter.Token(), now, oldest)
	stored, err := r.Store.WriteUsage(ctx, claim)
	if err != nil {
		r.Logger.WithError(err).Warn("usage: the duty to report usage cannot be claimed.")
		return false
	}
	if !r.duty.Claimed(present, claim, stored, sentAt, clock.Now()) {
		r.Logger.WithField("era", stored.Era).Warn("usage: the store has a new era, the duty is claimed again.")
		return false
	}
	r.counter.RecordToken(claim.Token)
	r.Logger.WithFields(log.Fields{"token": claim.Token, "former": present.Holder, "window": claim.Window, "recorded": claim.HasReport()}).
		Info("usage: this VM reports usage.")
	return true
}

// skip skips the windows whose counts are not known.
func (r *Reporter) skip(now usage.Time) {
	from, known := r.collection.CoveredFrom()
	if !known {
		return
	}
	first := r.duty.NextWindow()
	if skipped := r.duty.Skip(now, from); skipped > 0 {
		r.outcomes[outcomeSkipped].Inc(skipped)
		r.Logger.WithFields(log.Fields{"first": first, "windows": skipped}).Warn("usage: windows without known counts are not reported.")
	}
}

// collectingFor returns how long this VM has been asking all others for their counts.
func (r *Reporter) collectingFor() time.Duration {
	since := time.Duration(r.collecting.Load())
	now := clock.Now()
	if since == 0 || r.missedRounds(now) {
		return 0
	}
	return now - since
}

// missedRounds reports whether rounds of requests are missing because this VM was
// suspended.
func (r *Reporter) missedRounds(now time.Duration) bool {
	return now-time.Duration(r.lastRound.Load()) > maxMissedRounds*r.collectInterval()
}

// answeredSince reports whether all VMs that count have answered since the true time, or
// all of those that are alive.
func (r *Reporter) answeredSince(at usage.Time, aliveOnly bool) bool {
	for _, vm := range r.Links.View().VMs {
		expected := vm.Alive || !vm.Leaving && !aliveOnly
		if expected && !vm.Edge && !r.collection.AnsweredSince(vm.Name, at) {
			return false
		}
	}
	return true
}

// save records the counts of windows that cannot be reported yet, so that they are not lost
// with the VMs.
func (r *Reporter) save(ctx context.Context, now usage.Time) {
	from, known := r.collection.CoveredFrom()
	if !known || clock.Now() < r.nextSave {
		return
	}
	windows := r.duty.UnsavedWindows(now, from, func(at usage.Time) bool { return r.answeredSince(at, true) })
	if len(windows) == 0 {
		return
	}
	r.nextSave = clock.Now() + retryDelay
	var counts []usage.WindowCounts
	for _, w := range windows {
		counts = append(counts, usage.WindowCounts{Window: w, Counts: r.collection.Total(w)})
	}
	record := r.duty.PrepareSave(counts)
	sentAt := clock.Now()
	stored, err := r.writeRecord(ctx, record)
	if err == nil {
		r.duty.Saved(record, stored, sentAt)
	}
}

// writeRecord writes the record. If that fails, the duty is claimed again: this VM or another
// one may have written it.
func (r *Reporter) writeRecord(ctx context.Context, record usage.Record) (state.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, usage.CallTimeout)
	defer cancel()
	stored, err := r.Store.WriteUsage(ctx, record)
	if err != nil {
		r.duty.WriteFailed(clock.Now())
		r.nextClaim = clock.Now() + retryDelay
		r.Logger.WithError(err).WithField("window", record.Window).Warn("usage: a report cannot be recorded.")
	}
	return stored, err
}

// write records the report of the next window in the store, and then sends it.
func (r *Reporter) write(ctx context.Context) {
	record := r.duty.PrepareReport(r.collection.Total(r.duty.NextWindow()))
	sentAt := clock.Now()
	stored, err := r.writeRecord(ctx, record)
	if err != nil {
		return
	}
	if !r.duty.Recorded(record, stored, sentAt) {
		r.Logger.WithFields(log.Fields{"window": record.Window, "era": stored.Era}).Warn("usage: the store has a new era, the duty is claimed again.")
		return
	}
	if now, _ := r.trueTime(); r.next(now) == usage.Send {
		r.send(ctx)
	}
}

// verify reads the record before its report is repeated.
func (r *Reporter) verify(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, usage.CallTimeout)
	defer cancel()
	sentAt := clock.Now()
	present, err := r.Store.ReadUsage(ctx)
	if err != nil {
		r.nextCall = clock.Now() + retryDelay
		r.Logger.WithError(err).Warn("usage: the record of reports cannot be read.")
		return
	}
	r.counter.RecordToken(present.Token)
	if !r.duty.Verified(present, sentAt, clock.Now()) {
		r.Logger.WithFields(log.Fields{"holder": present.Holder, "token": present.Token}).Warn("usage: another VM has taken the duty, or the store has a new era.")
	}
}

// send sends the recorded report.
func (r *Reporter) send(ctx context.Context) {
	window, counts, token := r.duty.Report(clock.Now())
	ctx, cancel := context.WithTimeout(ctx, usage.CallTimeout)
	defer cancel()
	r.nextCall = clock.Now() + r.callSpacing()
	err := r.Platform.ReportUsage(ctx, window, counts, r.Name, token)
	entry := r.Logger.WithFields(log.Fields{"window": window, "token": token})
	switch {
	case err == nil:
		r.duty.Answered()
		r.countAccepted(window)
	case errors.Is(err, ErrRefused):
		r.outcomes[outcomeRefused].Inc(1)
		r.duty.Refused()
		r.nextClaim = clock.Now() + r.Settings.Lease
		entry.Warn("usage: the platform refused a report, the duty is claimed again.")
	case errors.Is(err, ErrInvalid):
		r.outcomes[outcomeSkipped].Inc(1)
		r.duty.Answered()
		entry.WithError(err).Error("usage: the platform does not accept a report.")
	default:
		r.nextCall = clock.Now() + max(retryDelay, r.callSpacing())
		if r.warnedWindow != window {
			r.warnedWindow = window
			entry.WithError(err).Warn("usage: a report is not confirmed, it is repeated.")
		}
	}
}

// countAccepted counts a window whose report was accepted.
func (r *Reporter) countAccepted(window int64) {
	now, _ := r.trueTime()
	if late := now.Sub(r.Settings.End(window)); late > r.Settings.Delay {
		r.outcomes[outcomeLate].Inc(1)
		r.Logger.WithFields(log.Fields{"window": window, "late_ms": (late - r.Settings.Delay).Milliseconds()}).Warn("usage: a window was reported late.")
		return
	}
	r.outcomes[outcomeReported].Inc(1)
}

// callSpacing returns the least time between two reports.
func (r *Reporter) callSpacing() time.Duration {
	if r.Settings.CallsPerSecond <= 0 {
		return minCallSpacing
	}
	return max(minCallSpacing, time.Duration(float64(time.Second)/(callShare*r.Settings.CallsPerSecond)))
}
