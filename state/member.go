package state

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// Member is this VM's knowledge of a VM, which may be this VM itself. An entry
// is versioned by (Incarnation, Sequence).
type Member struct {
	Name          string
	Incarnation   uint64
	Sequence      uint64 // message of the incarnation that the entry is based on
	DataCentre    string
	Address       string // peer interface, host:port
	State         ServiceState
	AppliedTicket uint64    // highest ticket that the incarnation reported as applied
	Contact       time.Time // latest local time at which this VM, or one that relayed it, received a message of the VM; zero if never
	Changed       time.Time // local time of the latest change of incarnation, data centre, address or state
	Silent        bool      // no message within the limit for its data centre, as of the last check
	Listed        bool      // listed in the configuration, as of the last check
}

// Age returns the time since the latest contact with the VM.
func (m *Member) Age(now time.Time) time.Duration { return now.Sub(m.Contact) }

// Members are the known VMs by name.
type Members struct {
	ByName map[string]*Member
	// StoreMissed has, by data centre, the local sending time of the latest
	// exchange whose answer reported that the data centre does not reach the
	// store. A data centre that has reached it since, or was not queried, has
	// no entry.
	StoreMissed map[string]time.Time
}

// NewMembers returns an empty set.
func NewMembers() *Members {
	return &Members{ByName: make(map[string]*Member), StoreMissed: make(map[string]time.Time)}
}

// MemberTable holds the known VMs.
type MemberTable struct {
	mu      lockrank.Mutex // guards members and everything reachable from it
	members *Members
}

// NewMemberTable returns an empty table.
func NewMemberTable() *MemberTable {
	return &MemberTable{mu: lockrank.New(lockrank.Members), members: NewMembers()}
}

// With calls f with the members while holding the table's lock. f must not
// retain them.
func (t *MemberTable) With(f func(m *Members)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.members)
}

// Get returns a copy of the entry of the named VM.
func (t *MemberTable) Get(name string) (m Member, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if found := t.members.ByName[name]; found != nil {
		return *found, true
	}
	return Member{}, false
}

// All returns copies of all entries in unspecified order.
func (t *MemberTable) All() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Member, 0, len(t.members.ByName))
	for _, m := range t.members.ByName {
		all = append(all, *m)
	}
	return all
}
