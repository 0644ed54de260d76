// Package store is a stand-in for the platform's object API, protocol/storeapi,
// with faults that a test can cause.
//
// HTTP goroutines decode requests and wait; a pool of workers runs the decisions
// over shared tables. Lock order: objectTable, vmTable, faultTable.
package store

import (
	"context"
	"encoding/json"
	"hash/maphash"
	"net/http"
	"sync"
	"time"

	"github.com/chestnutdyke/chestnutdyke/protocol/storeapi"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

// Ranks of this package's locks.
const (
	rankObjects lockrank.Rank = 410
	rankVMs     lockrank.Rank = 420
	rankFaults  lockrank.Rank = 430
)

const (
	defaultWorkers = 4
	queueCount     = 16 // objects are spread over this many queues
	queueLimit     = 1024
)

// Options describe a store.
type Options struct {
	ListLag time.Duration // after which a change of the list of VMs is seen
	Workers int           // zero means 4
}

// Store is a running store. It implements http.Handler. Its methods may be
// called at any time.
type Store struct {
	mux      *http.ServeMux
	objects  *objectTable
	vms      *vmTable
	faults   *faultTable
	pool     *pool.Pool
	queues   []*pool.Queue
	seed     maphash.Seed
	stopPool context.CancelFunc
	running  sync.WaitGroup
}

// New starts an empty store. Close it.
func New(o Options) *Store {
	if o.Workers == 0 {
		o.Workers = defaultWorkers
	}
	s := &Store{
		objects: newObjectTable(),
		vms:     newVMTable(o.ListLag),
		faults:  newFaultTable(),
		pool:    pool.New(o.Workers),
		seed:    maphash.MakeSeed(),
	}
	for range queueCount {
		s.queues = append(s.queues, s.pool.NewQueue(queueLimit))
	}
	s.mux = s.routes()
	ctx, cancel := context.WithCancel(context.Background())
	s.stopPool = cancel
	s.running.Go(func() { _ = s.pool.Run(ctx) })
	return s
}

// Close stops the store's workers. Close its servers first.
func (s *Store) Close() {
	s.stopPool()
	s.running.Wait()
}

// Object returns the named object. It is not counted as a call.
func (s *Store) Object(name string) (storeapi.Object, bool) { return s.objects.get(name) }

// Set gives an object a value regardless of its version, as another client of
// the platform may. It is not counted as a call.
func (s *Store) Set(name string, value json.RawMessage) storeapi.Object {
	return s.objects.set(name, value)
}

// SetVMs changes the platform's list of VMs. Calls see it after the lag.
func (s *Store) SetVMs(vms []storeapi.VM) { s.vms.set(vms, time.Now()) }

// SetOutage begins or ends an outage.
func (s *Store) SetOutage(o Outage) {
	for _, server := range s.faults.setOutage(o) {
		server.apply()
	}
}

// SetLatency delays every call by the given time before it has an effect.
func (s *Store) SetLatency(d time.Duration) { s.faults.setLatency(d) }

// LoseAnswers makes the store cut the connections of the next n conditional
// updates after it has handled them and before it answers.
func (s *Store) LoseAnswers(n int) { s.faults.loseAnswers(n) }

// Calls returns the number of calls that have arrived, by kind.
func (s *Store) Calls() Calls { return s.faults.callsSeen() }

// decide runs a decision about an object on a worker. It reports false if the
// request ended first.
func (s *Store) decide(ctx context.Context, name string, decision func()) bool {
	done := make(chan struct{})
	queue := s.queues[maphash.String(s.seed, name)%queueCount]
	queue.PostAlways(func() {
		decision()
		close(done)
	})
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}
