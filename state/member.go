package state

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// Member is what this VM knows of a VM, itself included. An entry is versioned
// by (Incarnation, Sequence).
type Member struct {
	Name          string
	Incarnation   uint64
	Sequence      uint64 // message of the incarnation that the entry reflects
	DataCentre    string
	Address       string // peer interface, host:port
	State         ServiceState
	AppliedTicket uint64    // highest ticket that the incarnation reported as applied
	Contact       time.Time // latest local time at which the VM was heard, by this VM or by one that passed it on; zero if never
	Changed       time.Time // local time of the latest change of incarnation, data centre, address or state
	Silent        bool      // not heard within the bound for its data centre, when last looked at
	Listed        bool      // listed by the configuration, when last looked at
}

// Age returns the time since the VM was heard.
func (m *Member) Age(now time.Time) time.Duration { return now.Sub(m.Contact) }

// Members are the VMs heard of, by name.
type Members struct {
	ByName map[string]*Member
	// StoreMissed holds, by data centre, the local time of sending of the latest
	// exchange whose answer said that the data centre does not reach the store.
	// A data centre that reached it since, or was not asked, has no entry.
	StoreMissed map[string]time.Time
}

// NewMembers returns an empty set.
func NewMembers() *Members {
	return &Members{ByName: make(map[string]*Member), StoreMissed: make(map[string]time.Time)}
}

// MemberTable holds the VMs heard of.
type MemberTable struct {
	mu      lockrank.Mutex // guards members and everything reachable from it
	members *Members
}

// NewMemberTable returns an empty table.
func NewMemberTable() *MemberTable {
	return &MemberTable{mu: lockrank.New(lockrank.Members), members: NewMembers()}
}

// With calls f with the members under the table's lock. f must not keep them.
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

// All returns copies of all entries, in no order.
func (t *MemberTable) All() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Member, 0, len(t.members.ByName))
	for _, m := range t.members.ByName {
		all = append(all, *m)
	}
	return all
}
