package state

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// LeaseHold is a period during which this process may spend the VM's shares.
type LeaseHold struct {
	Since time.Time // when a majority of the voters first confirmed this process
	Until time.Time // when the confirmations received so far expire
}

// Valid reports whether the hold covers the given time.
func (h LeaseHold) Valid(now time.Time) bool { return !h.Since.IsZero() && now.Before(h.Until) }

// LeaseQuery is an unanswered query to a voter.
type LeaseQuery struct {
	Voter  string
	SentAt time.Time
}

// VoterRecord is what this VM, as a voter, knows of the processes that use one
// VM name.
type VoterRecord struct {
	Highest     uint64    // highest known incarnation
	Confirmed   uint64    // latest confirmed incarnation; zero if none
	ConfirmedAt time.Time // time of the latest confirmation
}

// Lease is the state of the lease on this VM's incarnation, together with this
// VM's records as a voter for other VMs.
type Lease struct {
	Started    time.Time // start time of this process; zero before it starts
	Superseded bool      // a higher incarnation of this VM's name exists
	Queries    map[uint64]LeaseQuery
	NextQuery  uint64
	Confirmed  map[string]time.Time // by voter, the sending time of the latest query that it confirmed
	StoreSince time.Time            // when this VM's lease object in the store was first seen to contain this incarnation; zero before
	Hold       LeaseHold
	Known      map[string]*VoterRecord // records as a voter, by VM name
}

// LeaseTable holds the lease on this VM's incarnation.
type LeaseTable struct {
	mu    lockrank.Mutex // guards lease and everything reachable from it
	lease Lease
}

// NewLeaseTable returns the table of a process that has not started.
func NewLeaseTable() *LeaseTable {
	return &LeaseTable{
		mu: lockrank.New(lockrank.Lease),
		lease: Lease{
			Queries:   make(map[uint64]LeaseQuery),
			Confirmed: make(map[string]time.Time),
			Known:     make(map[string]*VoterRecord),
		},
	}
}

// With calls f with the lease while holding the table's lock. f must not retain
// it.
func (t *LeaseTable) With(f func(l *Lease)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.lease)
}

// Hold returns the latest hold, which may have expired.
func (t *LeaseTable) Hold() LeaseHold {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lease.Hold
}

// Record returns the record of a VM name and creates it if it does not exist.
func (l *Lease) Record(name string) *VoterRecord {
	r := l.Known[name]
	if r == nil {
		r = &VoterRecord{}
		l.Known[name] = r
	}
	return r
}
