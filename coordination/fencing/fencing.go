// Package fencing decides whether a VM may use a server as the primary of its group
// while the failover coordinator replaces that primary.
//
// A platform may leave a replaced primary running: it accepts writes and reads
// until it learns of its successor. If the platform does not enforce fencing either,
// the VMs have to stop using the old primary before the promotion takes effect. Two
// rules ensure this:
//
//   - Before an order to promote a server, the failover coordinator designates the
//     server as the primary to all VMs. A VM that has accepted a designation uses no
//     other server of the group as the primary.
//   - A VM uses primaries only while it holds a lease, which a quorum of the VMs has
//     renewed within the lease duration. Each renewal brings the designations that
//     the other VM has accepted.
//
// The coordinator waits until a majority of the VMs has accepted a designation and,
// if any VM has not, until the lease of that VM must have ended. The quorum of a
// lease and a majority have at least one VM in common, so the VM learns of the
// designation or loses its lease.
//
// Times are readings of a monotonic clock that advances while the VM is suspended.
package fencing

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

const (
	// minLeaseDuration spans four ping intervals of a small fleet, so that a VM that
	// is short of CPU time keeps its lease.
	minLeaseDuration = 800 * time.Millisecond
	// pingsPerLease is the number of ping intervals that a lease spans in a larger
	// fleet.
	pingsPerLease = 3
	// leaseMargin is added by the coordinator to the lease duration of another VM. It
	// covers the time between the check of a lease and the sending of a statement.
	leaseMargin = 50 * time.Millisecond
	// clockDrift is the fraction by which the clocks of two VMs may differ in speed.
	clockDrift = 0.02
)

// LeaseDuration returns how long a renewal is valid, counted from the sending of its
// request, if VMs ping each other at the given interval.
func LeaseDuration(pingInterval time.Duration) time.Duration {
	return max(minLeaseDuration, pingsPerLease*pingInterval)
}

// WaitForLeases returns how long the coordinator waits for the leases of other VMs to
// end, counted from the time at which a majority had accepted its message.
func WaitForLeases(lease time.Duration) time.Duration {
	return lease + time.Duration(clockDrift*float64(lease)) + leaseMargin
}

// Majority returns the number of VMs that must accept a designation, of a fleet of the
// given size.
func Majority(members int) int { return members/2 + 1 }

// leaseQuorum returns the number of VMs, including itself, that a VM must have heard
// from to use primaries. Together with a majority it exceeds the number of VMs.
func leaseQuorum(members int) int { return members - Majority(members) + 1 }

// Designation names the server that VMs may use as the primary of a group.
type Designation struct {
	Group  string
	Server string
	Token  uint64 // fencing token; a higher one replaces a lower one
}

// State is the part of a Table that VMs exchange.
type State struct {
	// Claim is the lowest fencing token of the failover coordinator that claimed
	// its role last. Lower tokens are no longer accepted for new designations.
	Claim        uint64
	Designations []Designation // in ascending order of the group names
}

// Digest returns a hash of the state, which VMs compare to detect differences.
func (s *State) Digest() uint64 {
	h := fnv.New64a()
	writeNumber := func(v uint64) { h.Write(strconv.AppendUint([]byte{0}, v, 10)) }
	writeNumber(s.Claim)
	for _, d := range s.Designations {
		h.Write([]byte("\x00" + d.Group + "\x00" + d.Server))
		writeNumber(d.Token)
	}
	return h.Sum64()
}

// Verdict says whether a VM may use a server as the primary.
type Verdict uint8

// Values of Verdict.
const (
	Allowed       Verdict = iota
	NotDesignated         // another server is, or becomes, the primary
	NoLease               // the VM has no contact with a quorum of the VMs
)

// Fleet describes the fleet that a lease is computed for.
type Fleet struct {
	Members  int           // VMs whose renewals count; zero if they are not known yet
	IsMember bool          // this VM is one of them
	Lease    time.Duration // see LeaseDuration
}

// Table holds the designations and renewals of a VM. It must be created with New.
type Table struct {
	mu           lockrank.Mutex // guards the fields below
	fleet        Fleet
	claim        uint64
	designations map[string]Designation   // by group
	renewals     map[string]time.Duration // VM to the sending time of the latest request that it renewed
	leaseEnd     time.Duration            // zero without a lease
	heard        map[string]bool          // VMs whose state was merged; nil once settled
	state        State                    // the exchanged part of the fields above
	digest       uint64                   // of state
}

// New returns an empty table, which has no lease until SetFleet is called.
func New() *Table {
	t := &Table{
		mu: lockrank.New(lockrank.Fencing), designations: make(map[string]Designation),
		renewals: make(map[string]time.Duration), heard: make(map[string]bool),
	}
	t.updateState()
	return t
}

// SetFleet sets the size of the fleet and the lease duration.
func (t *Table) SetFleet(f Fleet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f != t.fleet {
		t.fleet = f
		t.updateLease()
	}
}

// State returns the exchanged part of the table and its digest. The caller must not
// change it.
func (t *Table) State() (State, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state, t.digest
}

// updateState rebuilds the exchanged state. The caller holds mu.
func (t *Table) updateState() {
	t.state = State{Claim: t.claim, Designations: slices.SortedFunc(maps.Values(t.designations), func(a, b Designation) int {
		return cmp.Compare(a.Group, b.Group)
	})}
	t.digest = t.state.Digest()
}

// Merge accepts the newer parts of another VM's state. It returns the designations
// that were accepted.
func (t *Table) Merge(s State) []Designation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var accepted []Designation
	for _, d := range s.Designations {
		if d.Token > t.designations[d.Group].Token {
			t.designations[d.Group] = d
			accepted = append(accepted, d)
		}
	}
	if len(accepted) > 0 || s.Claim > t.claim {
		t.claim = max(t.claim, s.Claim)
		t.updateState()
	}
	return accepted
}

// Claim returns the lowest fencing token of the latest known failover coordinator.
func (t *Table) Claim() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.claim
}

// Designated returns the designation of a group. Its token is zero if there is none.
func (t *Table) Designated(group string) Designation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.designations[group]
}

// RecordState records that the state of another VM has been merged. If the VM was
// settled, it also renewed the lease with its answer to a request sent at sentAt.
func (t *Table) RecordState(vm string, settled bool, sentAt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.heard != nil {
		t.heard[vm] = true
	}
	if settled && sentAt > t.renewals[vm] {
		t.renewals[vm] = sentAt
		t.updateLease()
	}
}

// Settled reports whether this VM may renew the leases of others. A VM that has just
// started knows no designations, so it first merges the states of a majority.
func (t *Table) Settled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.heard != nil && t.fleet.Members > 0 && len(t.heard)+1 >= Majority(t.fleet.Members) {
		t.heard = nil
	}
	return t.heard == nil
}

// updateLease computes the end of the lease. The caller holds mu.
func (t *Table) updateLease() {
	t.leaseEnd = 0
	if t.fleet.Members == 0 {
		return
	}
	others := leaseQuorum(t.fleet.Members)
	if t.fleet.IsMember {
		others-- // a VM counts itself
	}
	if others == 0 {
		t.leaseEnd = math.MaxInt64
		return
	}
	sent := slices.Sorted(maps.Values(t.renewals))
	if len(sent) >= others {
		t.leaseEnd = sent[len(sent)-others] + t.fleet.Lease
	}
	maps.DeleteFunc(t.renewals, func(_ string, at time.Duration) bool { return at+2*t.fleet.Lease < sent[len(sent)-1] })
}

// Check reports whether this VM may use the server as the primary of the group.
func (t *Table) Check(group, server string, now time.Duration) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, designated := t.designations[group]; designated && d.Server != server {
		return NotDesignated
	}
	if now >= t.leaseEnd {
		return NoLease
	}
	return Allowed
}

// HasLease reports whether this VM holds a lease.
func (t *Table) HasLease(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now < t.leaseEnd
}
