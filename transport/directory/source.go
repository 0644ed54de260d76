package directory

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

// Kind is a kind of object in the store.
type Kind string

// Kinds of objects that VMs follow.
const (
	Configuration Kind = "configuration"  // one object: the operators' configuration
	Servers       Kind = "servers"        // registrations of backend servers
	OutOfService  Kind = "out_of_service" // data centres that are out of service
	VMs           Kind = "vms"            // the list of members; read at intervals instead of watched
)

// Entry is an object at a revision of the store. At most one of Config, Server and
// Member is set; none is set for an object that is unusable, see Invalid.
type Entry struct {
	Name     string
	Revision uint64
	Deleted  bool            `json:",omitempty"`
	Config   *catalog.Config `json:",omitempty"`
	Server   *catalog.Server `json:",omitempty"`
	Member   *Member         `json:",omitempty"`
	Invalid  string          `json:",omitempty"` // why the object cannot be used
}

// Batch is a list of objects, or of changes to them.
type Batch struct {
	Entries []Entry
	AsOf    uint64 // revision of the store
	Era     uint64 // of the store when it answered; zero if it does not report eras
	Unnamed int    // objects whose name cannot be read; they are skipped
}

// revision returns the revision of the store with its era.
func (b *Batch) revision() state.Revision { return state.Revision{Era: b.Era, Number: b.AsOf} }

// Member is a VM in the store's list of members.
type Member = placement.Member

// ErrHistoryGone is returned by a watch that starts at a revision which the
// store has already dropped, or does not have yet. The batch that is returned with it
// has the era of the answer.
var ErrHistoryGone = eris.New("the store has dropped this part of its history")

// Source is the store of the platform.
type Source interface {
	// List returns all objects of the kind.
	List(ctx context.Context, kind Kind) (Batch, error)
	// Watch returns the changes after the revision, or an empty batch if there
	// are none within wait. It fails with ErrHistoryGone if the store no longer
	// has the changes.
	Watch(ctx context.Context, kind Kind, after uint64, wait time.Duration) (Batch, error)
	// Members returns the VMs that have announced themselves, as entries with a
	// Member. Without fresh, the list may be some seconds old, which makes the call
	// cheaper.
	Members(ctx context.Context, fresh bool) (Batch, error)
	// Announce adds this VM to the list of members.
	Announce(ctx context.Context, m Member) error
	// Retire removes a VM from the list of members.
	Retire(ctx context.Context, name string) error
}
