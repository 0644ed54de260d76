package store

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/protocol/storeapi"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// objectTable holds the objects and notifies their watches of updates.
type objectTable struct {
	mu      lockrank.Mutex // guards objects and changed
	objects map[string]storeapi.Object
	changed map[string]chan struct{} // by name; closed at the next update
}

func newObjectTable() *objectTable {
	return &objectTable{
		mu:      lockrank.New(rankObjects),
		objects: make(map[string]storeapi.Object),
		changed: make(map[string]chan struct{}),
	}
}

func (t *objectTable) get(name string) (storeapi.Object, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.objects[name]
	return o, ok
}

// newer returns the object if its version is above the given one. Otherwise it returns
// a channel that is closed at the object's next update.
func (t *objectTable) newer(name string, after uint64) (o storeapi.Object, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.objects[name]; o.Version > after {
		return o, nil
	}
	if t.changed[name] == nil {
		t.changed[name] = make(chan struct{})
	}
	return storeapi.Object{}, t.changed[name]
}

// update updates the object if it has the version of the Put. Otherwise it returns the
// current object, whose version is zero if it does not exist.
func (t *objectTable) update(name string, p storeapi.Put) (o storeapi.Object, updated bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if current := t.objects[name]; current.Version != p.Version {
		current.Name = name
		return current, false
	}
	return t.put(name, p.Value), true
}

// set updates the object regardless of its version.
func (t *objectTable) set(name string, value json.RawMessage) storeapi.Object {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.put(name, value)
}

// put stores a value under the next version. The caller holds t.mu.
func (t *objectTable) put(name string, value json.RawMessage) storeapi.Object {
	o := storeapi.Object{
		Name:    name,
		Version: t.objects[name].Version + 1,
		Value:   slices.Clone(value),
	}
	t.objects[name] = o
	if changed := t.changed[name]; changed != nil {
		close(changed)
		delete(t.changed, name)
	}
	return o
}

// vmTable holds the list of VMs that calls see, and the later ones that they do not
// see before the lag is over.
type vmTable struct {
	lag time.Duration

	mu    lockrank.Mutex // guards lists
	lists []vmList       // by visibleAt, ascending; calls see the first
}

// vmList is a list of VMs that calls see from a time on.
type vmList struct {
	visibleAt time.Time
	vms       []storeapi.VM
}

func newVMTable(lag time.Duration) *vmTable {
	return &vmTable{lag: lag, mu: lockrank.New(rankVMs), lists: []vmList{{}}}
}

func (t *vmTable) set(vms []storeapi.VM, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lists = append(t.lists, vmList{visibleAt: now.Add(t.lag), vms: slices.Clone(vms)})
}

// get returns the list that calls see at the time now, and drops older ones.
func (t *vmTable) get(now time.Time) []storeapi.VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.lists) > 1 && !t.lists[1].visibleAt.After(now) {
		t.lists = t.lists[1:]
	}
	return t.lists[0].vms
}
