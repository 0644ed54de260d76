package directory

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

// Kind is a kind of objects in the store.
type Kind string

// Kinds that VMs follow.
const (
	Configuration Kind = "configuration" // one object: the operators' configuration
	Servers       Kind = "servers"       // registrations of backend servers
	OutOfService  Kind = "out_of_service"
)

// Entry is one object as of a revision of the store. At most one of the typed
// fields is set; none is for an object that cannot be used, see Invalid.
type Entry struct {
	Name     string
	Revision uint64
	Deleted  bool            `json:",omitempty"`
	Config   *catalog.Config `json:",omitempty"`
	Server   *catalog.Server `json:",omitempty"`
	Invalid  string          `json:",omitempty"` // why the object cannot be used
}

// Batch is a list of objects, or what has changed.
type Batch struct {
	Entries []Entry
	AsOf    uint64 // revision of the store
}

// Member is a VM in the store's list.
type Member struct {
	Name    string
	Address string // where it accepts links
}

// ErrHistoryGone says that a watch starts at a revision that the store forgot.
var ErrHistoryGone = eris.New("the store has dropped this part of its history")

// Source is the platform's store.
type Source interface {
	// List returns all objects of the kind.
	List(ctx context.Context, kind Kind) (Batch, error)
	// Watch returns what has changed after the revision, or an empty batch
	// after wait. It fails with ErrHistoryGone if it cannot know.
	Watch(ctx context.Context, kind Kind, after uint64, wait time.Duration) (Batch, error)
	// Members returns the VMs that announced themselves: as of now if fresh is
	// set, and else possibly as of some seconds ago, which costs less.
	Members(ctx context.Context, fresh bool) ([]Member, error)
	// Announce puts this VM on the list of members.
	Announce(ctx context.Context, m Member) error
	// Retire takes a VM from the list of members.
	Retire(ctx context.Context, name string) error
}
