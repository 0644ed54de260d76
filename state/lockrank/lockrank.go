// Package lockrank provides mutexes with a rank. A goroutine may lock a mutex
// only if its rank is higher than every rank that the goroutine already holds.
// The order is listed in docs/design.md. The check inspects the stack on every
// lock, so it is enabled in tests only.
package lockrank

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
)

// Rank is the position of a lock in the lock order. Locks are acquired in
// ascending order.
type Rank int

// Ranks of all locks of the system, in the order in which they may be acquired.
const (
	Sessions Rank = 10 // map of sessions; documents of the directory
	Session  Rank = 20 // state of one session; operations that wait for tokens; groups whose failover this VM manages
	Config   Rank = 30 // current ticket and freshness of the configuration
	Members  Rank = 40 // known VMs
	Lease    Rank = 50 // confirmations of this VM's incarnation
	Shares   Rank = 60 // rate, burst and connection shares
	Groups   Rank = 70 // views of database groups and their position waiters
	Backends Rank = 80 // backend connections and their wait queues
	Fencing  Rank = 85 // designated primaries and the lease to use them
	Counters Rank = 90 // counters read by status and metrics
)

var checksEnabled atomic.Bool

var held struct {
	sync.Mutex  // guards byGoroutine
	byGoroutine map[uint64][]Rank
}

// EnableChecks enables the check of the lock order for the whole process. It
// must be called before any ranked mutex is locked, usually from TestMain.
func EnableChecks() {
	held.Lock()
	defer held.Unlock()
	if held.byGoroutine == nil {
		held.byGoroutine = make(map[uint64][]Rank)
	}
	checksEnabled.Store(true)
}

// Mutex is a mutual exclusion lock with a rank. It must be created with New.
type Mutex struct {
	mu   sync.Mutex
	rank Rank
}

// New returns an unlocked mutex of the given rank.
func New(rank Rank) Mutex { return Mutex{rank: rank} }

// Lock locks m. If checks are enabled, it panics if the calling goroutine
// already holds a lock of the same or a higher rank.
func (m *Mutex) Lock() {
	if checksEnabled.Load() {
		acquire(m.rank)
	}
	m.mu.Lock()
}

// Unlock unlocks m.
func (m *Mutex) Unlock() {
	m.mu.Unlock()
	if checksEnabled.Load() {
		release(m.rank)
	}
}

func acquire(rank Rank) {
	id := goroutineID()
	held.Lock()
	defer held.Unlock()
	for _, h := range held.byGoroutine[id] {
		if h >= rank {
			panic(fmt.Sprintf("lock order violated: rank %d requested while rank %d is held", rank, h))
		}
	}
	held.byGoroutine[id] = append(held.byGoroutine[id], rank)
}

func release(rank Rank) {
	id := goroutineID()
	held.Lock()
	defer held.Unlock()
	ranks := held.byGoroutine[id]
	for i := len(ranks) - 1; i >= 0; i-- {
		if ranks[i] == rank {
			ranks = append(ranks[:i], ranks[i+1:]...)
			break
		}
	}
	if len(ranks) == 0 {
		delete(held.byGoroutine, id)
		return
	}
	held.byGoroutine[id] = ranks
}

// goroutineID parses the identifier from the first line of the stack trace,
// which has the form "goroutine 18 [running]:". The runtime has no other way to
// get it.
func goroutineID() uint64 {
	var buf [64]byte
	line := buf[:runtime.Stack(buf[:], false)]
	line = bytes.TrimPrefix(line, []byte("goroutine "))
	line, _, _ = bytes.Cut(line, []byte(" "))
	id, err := strconv.ParseUint(string(line), 10, 64)
	if err != nil {
		panic(fmt.Sprintf("unexpected stack header %q", buf[:]))
	}
	return id
}
