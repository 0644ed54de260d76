package state

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// Hold is a period during which this process may spend the VM's shares.
type Hold struct {
	Since time.Time // when a majority of the voters first confirmed this process
	Until time.Time // when the confirmations known so far run out
}

// Valid reports whether the hold covers the given time.
func (h Hold) Valid(now time.Time) bool { return !h.Since.IsZero() && now.Before(h.Until) }

// LeaseQuery is a query to a voter that has not been answered yet.
type LeaseQuery struct {
	Voter  string
	SentAt time.Time
}

// VoterRecord is what this VM, as a voter, knows of the processes that run
// under one VM name.
type VoterRecord struct {
	Highest     uint64    // highest incarnation heard of
	Confirmed   uint64    // incarnation confirmed last; zero if none
	ConfirmedAt time.Time // when it was confirmed last
}

// Lease is the state of the lease on this VM's incarnation, and this VM's
// memory as a voter for others.
type Lease struct {
	Started    time.Time // when this process started; zero until then
	Superseded bool      // a higher incarnation of this VM's name exists
	Queries    map[uint64]LeaseQuery
	NextQuery  uint64
	Confirmed  map[string]time.Time // by voter, the sending time of the latest query that it confirmed
	StoreSince time.Time            // when the store's object was first seen to name this incarnation
	Hold       Hold
	Known      map[string]*VoterRecord // by VM name
}

// LeaseTable holds the lease on this VM's incarnation.
type LeaseTable struct {
	mu    lockrank.Mutex // guards lease and everything reachable from it
	lease Lease
}

// NewLeaseTable returns a table of a process that has not started.
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

// With calls f with the lease under the table's lock. f must not keep it.
func (t *LeaseTable) With(f func(l *Lease)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.lease)
}

// Hold returns the latest hold, which may have ended.
func (t *LeaseTable) Hold() Hold {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lease.Hold
}

// Record returns what is known of the processes of a VM name, created if
// nothing is.
func (l *Lease) Record(name string) *VoterRecord {
	r := l.Known[name]
	if r == nil {
		r = &VoterRecord{}
		l.Known[name] = r
	}
	return r
}
