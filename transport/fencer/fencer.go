// Package fencer exchanges designations of primaries and lease renewals with the other
// VMs. Package fencing holds the rules.
package fencer

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/chestnutdyke/chestnutdyke/coordination/fencing"
	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
	"github.com/chestnutdyke/chestnutdyke/transport/fleetlink"
)

const (
	tickInterval = 100 * time.Millisecond
	// minRenewalInterval is the interval between lease renewals in a small fleet. In a
	// larger one it is the ping interval.
	minRenewalInterval = 200 * time.Millisecond
	// unlistedFleetDelay is how long a VM that cannot read the list of members waits
	// for other VMs to link with it before it counts only those.
	unlistedFleetDelay = time.Second
	// resendInterval is the interval at which a designation is sent again to VMs that
	// have not accepted it.
	resendInterval = 150 * time.Millisecond
	// majorityTimeout limits the wait for a majority to accept a designation.
	majorityTimeout = time.Second
)

// Links is the part of the links to other VMs that a Fencer uses.
type Links interface {
	Call(vm string, kind fleetwire.Kind, body []byte, done func(fleetwire.Frame, bool)) bool
	Peers() []fleetwire.Status
	View() *placement.View
	PingInterval() time.Duration
	UpdateStatus(scope fleetlink.Scope, change func(*fleetwire.Status))
}

// Executor ends the use of former primaries on this VM.
type Executor interface {
	// StopUsingOthers calls accept, from which on Check must refuse all servers of the
	// groups in designated except the given ones. It calls done once no statement
	// that needs the primary runs on the refused servers. Statements that still run
	// after the drain period end without an answer.
	StopUsingOthers(designated map[string]string, drain time.Duration, accept, done func())
}

// Options are the dependencies of a Fencer.
type Options struct {
	Links      Links
	Executor   Executor
	Leadership *leadership.Table
	Logger     log.Interface
}

// Fencer maintains the lease of a VM and its designations. Create it with New.
type Fencer struct {
	Options
	table   *fencing.Table
	started time.Duration

	lastRenewal time.Duration // used by Run only
	hadLease    bool          // as of the last report to other VMs; used by Run only
}

// New returns a Fencer. Run must be called to obtain a lease.
func New(o Options) *Fencer {
	return &Fencer{Options: o, table: fencing.New(), started: clock.Now()}
}

// Check reports whether this VM may use the server as the primary of the group.
func (f *Fencer) Check(group, server string) fencing.Verdict {
	return f.table.Check(group, server, clock.Now())
}

// Claim returns the lowest fencing token of the latest known failover coordinator.
func (f *Fencer) Claim() uint64 { return f.table.Claim() }

// HasLease reports whether this VM holds a lease.
func (f *Fencer) HasLease() bool { return f.table.HasLease(clock.Now()) }

// Run renews the lease until ctx is done.
func (f *Fencer) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			f.renew()
		}
	}
}

// renew updates the size of the fleet and requests renewals from all VMs if they are
// due.
func (f *Fencer) renew() {
	now := clock.Now()
	fleet := f.fleet(now)
	f.table.SetFleet(fleet)
	f.reportLease(now)
	if now-f.lastRenewal < max(minRenewalInterval, f.Links.PingInterval()) && f.table.HasLease(now+fleet.Lease/2) {
		return
	}
	f.lastRenewal = now
	_, digest := f.table.State()
	body := fleetwire.AppendNumber(nil, digest)
	for _, vm := range f.voters() {
		f.requestRenewal(vm, body)
	}
}

// voters returns the names of the other VMs whose answers count. VMs of earlier versions
// do not handle designations.
func (f *Fencer) voters() []string {
	view := f.Links.View()
	var names []string
	for _, p := range f.Links.Peers() {
		if p.Fencing && view.IsCore(p.Name) {
			names = append(names, p.Name)
		}
	}
	return names
}

// reportLease tells the other VMs whether this VM has a lease, after each change.
func (f *Fencer) reportLease(now time.Duration) {
	has := f.table.HasLease(now)
	if has == f.hadLease {
		return
	}
	f.hadLease = has
	f.Logger.WithField("lease", has).Info("fencing: lease changed.")
	f.Links.UpdateStatus(fleetlink.All, func(s *fleetwire.Status) { s.NoLease = !has })
}

// fleet returns the size of the fleet for the lease. It is unknown while a new VM has
// neither read the list of members nor had time to link with the others.
func (f *Fencer) fleet(now time.Duration) fencing.Fleet {
	view := f.Links.View()
	fleet := fencing.Fleet{Members: view.Members, IsMember: view.SelfIsCore(), Lease: fencing.LeaseDuration(f.Links.PingInterval())}
	if !view.Listed && now-f.started < unlistedFleetDelay {
		fleet.Members = 0
	}
	return fleet
}

func (f *Fencer) requestRenewal(vm string, body []byte) {
	sentAt := clock.Now()
	f.Links.Call(vm, fleetwire.KindRenewal, body, func(frame fleetwire.Frame, ok bool) {
		if !ok {
			return
		}
		r, err := fleetwire.DecodeRenewed(frame.Body)
		if err != nil {
			f.Logger.WithError(err).WithField("vm", vm).Error("fencing: a renewal cannot be decoded.")
			return
		}
		f.merge(r.State)
		f.table.RecordState(vm, r.Settled, sentAt)
	})
}

// merge accepts the newer parts of another VM's state.
func (f *Fencer) merge(s fencing.State) {
	for _, d := range f.table.Merge(s) {
		f.Leadership.With(d.Group, func(g *leadership.Group) { g.Designate(d.Server) })
		f.Logger.WithFields(log.Fields{"group": d.Group, "server": d.Server, "token": d.Token}).Info("fencing: primary designated.")
	}
}

// HandleRenewal returns the response to a request to renew a lease.
func (f *Fencer) HandleRenewal(body []byte) ([]byte, error) {
	theirs, err := fleetwire.DecodeNumber(body)
	if err != nil {
		return nil, err
	}
	r := fleetwire.Renewed{Settled: f.table.Settled()}
	if state, own := f.table.State(); own != theirs {
		r.State = state
	}
	return r.Append(nil), nil
}

// HandleFence accepts the designations of the failover coordinator and calls reply once
// this VM no longer uses other servers.
func (f *Fencer) HandleFence(body []byte, reply func([]byte)) error {
	m, err := fleetwire.DecodeFence(body)
	if err != nil {
		return err
	}
	f.acceptFence(&m, func() {
		state, _ := f.table.State()
		reply(fleetwire.AppendFencingState(nil, &state))
	})
	return nil
}

// acceptFence merges the state of the message and calls done once this VM no longer
// uses former primaries of the groups in it. It ignores the designations of a coordinator
// that another one has succeeded; the response shows it the higher claim.
func (f *Fencer) acceptFence(m *fleetwire.Fence, done func()) {
	if m.State.Claim < f.table.Claim() {
		done()
		return
	}
	designated := make(map[string]string)
	for _, d := range m.State.Designations {
		if d.Token >= f.table.Designated(d.Group).Token {
			designated[d.Group] = d.Server
		}
	}
	f.Executor.StopUsingOthers(designated, m.Drain, func() { f.merge(m.State) }, done)
}
