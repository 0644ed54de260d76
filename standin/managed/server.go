package managed

import (
	"cmp"
	"context"
	"net"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/transport/directory"
)

// registrationLifetime is how long the registration of a server that has crashed stays in
// the store.
const registrationLifetime = 3600 * time.Millisecond

// Report registers the server in the store, and updates the registration when the
// server starts again, when it becomes primary or replica and when the store has a new
// era, until ctx is done.
func Report(ctx context.Context, store *Store, s *Server) {
	registered, wasPrimary := false, false
	era, rewriteAt := store.Era(), time.Time{}
	var expiresAt time.Time // of the registration of a server that is down
	for ; ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		if s.isDown() {
			if expiresAt.IsZero() {
				expiresAt = time.Now().Add(registrationLifetime)
			}
			if registered && !time.Now().Before(expiresAt) {
				store.Put(directory.Servers, directory.Entry{Name: s.ID, Deleted: true})
			}
			registered = registered && time.Now().Before(expiresAt)
			continue
		}
		if !expiresAt.IsZero() {
			registered, expiresAt = false, time.Time{}
		}
		if now := store.Era(); now != era {
			era, rewriteAt = now, time.Now().Add(rewriteDelay)
		}
		if !rewriteAt.IsZero() && !time.Now().Before(rewriteAt) {
			registered, rewriteAt = false, time.Time{}
		}
		if primary := s.isPrimary(); primary != wasPrimary || !registered {
			registered, wasPrimary = true, primary
			register(store, s)
		}
	}
}

func (s *Server) isDown() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.down
}

func (s *Server) isPrimary() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.primary
}

// register writes the server's registration to the store.
func register(store *Store, s *Server) {
	s.group.mu.Lock()
	s.seq++
	entry := catalog.Server{
		ID: s.ID, Group: s.group.Name, Address: s.Address, DataCentre: s.Zone, Primary: s.primary, Draining: s.draining, Born: s.born, Seq: s.seq,
	}
	s.group.mu.Unlock()
	store.Put(directory.Servers, directory.Entry{Name: s.ID, Server: &entry})
}

// Drain registers the server as draining. The server still answers.
func Drain(store *Store, s *Server) { setDraining(store, s, true) }

// Undrain registers the server as no longer draining.
func Undrain(store *Store, s *Server) { setDraining(store, s, false) }

func setDraining(store *Store, s *Server, draining bool) {
	s.group.mu.Lock()
	s.draining = draining
	s.group.mu.Unlock()
	register(store, s)
}

// Primary returns the group's primary, or nil if there is none.
func (g *Group) Primary() *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.primary && !s.down && s.superseded == nil {
			return s
		}
	}
	return nil
}

// Crash stops the server and closes its connections. Its registration stays for
// registrationLifetime.
func (s *Server) Crash() {
	s.group.mu.Lock()
	for _, other := range s.group.servers {
		other.received = other.logLength() // until now
	}
	s.becomeReplica()
	s.down, s.pausedBy = true, 0
	conns, cancel := s.conns, s.cancel
	s.conns = make(map[net.Conn]bool)
	s.group.mu.Unlock()
	cancel()
	for c := range conns {
		c.Close()
	}
}

// RestartServer starts a server that has crashed.
func (d *Deployment) RestartServer(s *Server) {
	l, err := d.Net.Host(s.ID, s.Zone).Listen(s.Address)
	if err != nil {
		panic(err)
	}
	s.Restart(d.ctx, l)
}

// Restart starts a server that has crashed, with its log. It accepts connections from l
// until ctx is done or Crash is called. A former primary is the primary again unless
// another server was promoted.
func (s *Server) Restart(ctx context.Context, l net.Listener) {
	ctx, cancel := context.WithCancel(ctx)
	g := s.group
	g.mu.Lock()
	s.cancel, s.ended = cancel, ctx.Done()
	s.down, s.primary = false, s.ledTerm == g.term
	s.born++
	s.seq = 0
	g.mu.Unlock()
	go s.serve(ctx, l)
}

// LoseAnswers makes the server close the connection after each of its next n
// commits, instead of answering.
func (s *Server) LoseAnswers(n int) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.answersToDrop = n
}

// SetReplicationPaused makes the network lose what the server would receive, or ends that.
func (s *Server) SetReplicationPaused(paused bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.logLength() // updates received
	s.deaf = paused
}

// Replicas returns the replicas that are up, ordered by id.
func (g *Group) Replicas() []*Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	var replicas []*Server
	for _, s := range g.servers {
		if !s.primary && !s.down {
			replicas = append(replicas, s)
		}
	}
	slices.SortFunc(replicas, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	return replicas
}

// DroppedCommits returns the number of commits that promotions have dropped.
func (g *Group) DroppedCommits() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.droppedCommits
}

// Commits returns the number of log entries that the statement with the id wrote.
func (g *Group) Commits(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, c := range g.log {
		if c.id == id {
			n++
		}
	}
	return n
}

// CommitsOf returns the times of the customer's commits that are in the log.
func (g *Group) CommitsOf(customer string) []time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	var times []time.Time
	for _, c := range g.log {
		if c.customer == customer {
			times = append(times, c.at)
		}
	}
	return times
}

// Connections returns the number of open connections to the server.
func (s *Server) Connections() int {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return len(s.conns)
}

// Executions returns the number of statements that the server has executed.
func (s *Server) Executions() int {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	n := 0
	for _, executions := range s.executions {
		n += executions
	}
	return n
}
