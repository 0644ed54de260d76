// Package store simulates the platform's object API of package storeapi, with faults
// that tests inject.
//
// HTTP goroutines decode requests, wait and encode answers; a pool of workers runs the
// decisions over shared tables. Lock order: objectTable, vmTable, faultTable.
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

// Ranks of this package's locks, in lock order.
const (
	rankObjects lockrank.Rank = 410
	rankVMs     lockrank.Rank = 420
	rankFaults  lockrank.Rank = 430
)

const (
	defaultWorkers = 4
	queueCount     = 16   // objects are distributed over the queues by a hash of their names
	queueLimit     = 1024 // decisions that wait in a queue
)

// Options set the behaviour of a store.
type Options struct {
	ListLag time.Duration // after which calls see a change of the list of VMs
	Workers int           // zero means 4
}

// Store is a running store. It implements http.Handler. Its methods may be called
// concurrently.
type Store struct {
	mux      *http.ServeMux
	objects  *objectTable
	vms      *vmTable
	faults   *faultTable
	pool     *pool.Pool
	queues   []*pool.Queue
	hashSeed maphash.Seed // for the distribution over queues
	stopPool context.CancelFunc
	running  sync.WaitGroup
}

// New starts an empty store. The caller must call Close.
func New(o Options) *Store {
	if o.Workers == 0 {
		o.Workers = defaultWorkers
	}
	s := &Store{
		objects:  newObjectTable(),
		vms:      newVMTable(o.ListLag),
		faults:   newFaultTable(),
		pool:     pool.New(o.Workers),
		hashSeed: maphash.MakeSeed(),
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

// Close stops the store's workers. The store's servers must be closed before.
func (s *Store) Close() {
	s.stopPool()
	s.running.Wait()
}

// Object returns the named object, if it exists. It does not count as a call.
func (s *Store) Object(name string) (storeapi.Object, bool) { return s.objects.get(name) }

// Set updates an object unconditionally, as an update by another client of the platform
// looks to VMs. It does not count as a call.
func (s *Store) Set(name string, value json.RawMessage) storeapi.Object {
	return s.objects.set(name, value)
}

// SetVMs changes the platform's list of VMs. Calls see the change after ListLag.
func (s *Store) SetVMs(vms []storeapi.VM) { s.vms.set(vms, time.Now()) }

// SetOutage starts an outage, or ends it with InService. Servers have closed or
// reopened their listeners when it returns.
func (s *Store) SetOutage(o Outage) {
	for _, server := range s.faults.setOutage(o) {
		server.applyOutage()
	}
}

// SetLatency sets the time by which every call is delayed before it takes effect.
func (s *Store) SetLatency(d time.Duration) { s.faults.setLatency(d) }

// LoseAnswers makes the store execute the next n conditional updates and then close
// their connections instead of answering.
func (s *Store) LoseAnswers(n int) { s.faults.loseAnswers(n) }

// Calls returns the number of calls that have arrived, by kind.
func (s *Store) Calls() Calls { return s.faults.callCounts() }

// decide runs a decision about an object on a worker and waits for it. It reports false
// if ctx ended first; the decision may then still run.
func (s *Store) decide(ctx context.Context, name string, decision func()) bool {
	done := make(chan struct{})
	queue := s.queues[maphash.String(s.hashSeed, name)%queueCount]
	queue.PostUnbounded(func() {
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
