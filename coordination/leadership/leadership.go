// Package leadership decides which server of a group is the primary and which
// server may run a read.
//
// Three views of the primary differ in age: the role that a server registers,
// the role in its answers, and the proof that a statement of a writing
// transaction ran, which a server that lost the lead refuses. Only the last one
// counts for consistency. The others are hints about whom to ask.
//
// Times are readings of one clock of this VM that also counts while the VM is
// suspended.
package leadership

import (
	"math"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

const (
	// sampleSpacing and maxSamples keep samples for 6 s, more than any bound on
	// staleness that operators set.
	sampleSpacing = 50 * time.Millisecond
	maxSamples    = 120
	// suspectFor keeps work away from a server that broke a connection or was
	// silent, until it is tried again.
	suspectFor = time.Second
	// lagFor is how long a replica that lacked a point is avoided; replicas
	// receive within tens of milliseconds.
	lagFor = 40 * time.Millisecond
	// initialLatency is assumed of a server that has not answered yet.
	initialLatency = 10 * time.Millisecond
	// latencyWeight is the weight of the newest answer in a server's latency.
	latencyWeight = 0.2
	// remotePenalty is added to the latency of servers in other data centres.
	remotePenalty = 4 * time.Millisecond
	// failureWeight is the weight of the newest outcome in a server's share of
	// failures, which halves in failureHalfLife so that the server is tried again.
	failureWeight   = 0.15
	failureHalfLife = 2 * time.Second
	// failurePenalty makes a read on a server that fails all statements cost as
	// much as one of nine times its latency: the read is repeated elsewhere.
	failurePenalty = 8
	// hedgeShare is the part of the reads that may run on a second server because
	// the first has not answered: enough for the slowest ones, and little load if
	// all servers are slow. maxHedges may be saved up.
	hedgeShare = 0.05
	maxHedges  = 10.0
	// primaryPenalty multiplies the cost of a read on the primary, whose slots
	// the writes need.
	primaryPenalty = 1.5
)

// Sample says that every commit acknowledged before At is held at Point.
type Sample struct {
	At    time.Duration
	Point state.Point
}

// server is what this VM has seen of a backend server.
type server struct {
	born         int64
	applied      state.Point
	deniedAt     uint64 // revision of the registration that claimed the lead when the server denied it
	denied       bool
	suspectUntil time.Duration
	lagUntil     time.Duration
	latency      time.Duration
	outstanding  int
	failing      float64 // share of the latest statements that failed, as of failedAt
	failedAt     time.Duration
}

// Group is what this VM knows of a group's leadership.
type Group struct {
	primary  string
	term     uint64
	provenAt time.Duration
	samples  []Sample // ascending, all of the current term
	servers  map[string]*server
	hedges   float64 // second attempts of reads that are allowed now
}

// Table holds the groups.
type Table struct {
	mu     lockrank.Mutex // guards groups and everything reachable from it
	groups map[string]*Group
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{mu: lockrank.New(lockrank.Groups), groups: make(map[string]*Group)}
}

// With calls f with the named group under the table's lock. f must not keep it.
func (t *Table) With(name string, f func(*Group)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[name]
	if g == nil {
		g = &Group{servers: make(map[string]*server)}
		t.groups[name] = g
	}
	f(g)
}

func (g *Group) server(id string) *server {
	s := g.servers[id]
	if s == nil {
		s = &server{latency: initialLatency}
		g.servers[id] = s
	}
	return s
}

// Prove records that the server led the group at sentAt or later, when its log
// ended at p. Proofs of earlier terms than the latest are ignored.
func (g *Group) Prove(id string, p state.Point, sentAt time.Duration) {
	if p.Term < g.term || p.Term == 0 {
		return
	}
	if p.Term > g.term {
		g.samples = g.samples[:0]
		g.term = p.Term
		g.provenAt = 0
	}
	g.primary = id
	s := g.server(id)
	s.denied = false
	g.provenAt = max(g.provenAt, sentAt)
	g.sample(Sample{At: sentAt, Point: p})
}

// sample appends a sample. Samples closer than the spacing replace the newest,
// but never the one before it, so that the spacing is kept.
func (g *Group) sample(s Sample) {
	n := len(g.samples)
	if n > 0 && (s.At <= g.samples[n-1].At || s.Point.Position < g.samples[n-1].Point.Position) {
		return
	}
	if n > 1 && g.samples[n-1].At-g.samples[n-2].At < sampleSpacing {
		g.samples[n-1] = s
		return
	}
	if n == maxSamples {
		copy(g.samples, g.samples[1:])
		g.samples = g.samples[:n-1]
	}
	g.samples = append(g.samples, s)
}

// Newest returns the latest proof: the primary and its sample. It reports false
// if the group's lead was never proven.
func (g *Group) Newest() (string, Sample, bool) {
	if len(g.samples) == 0 {
		return "", Sample{}, false
	}
	return g.primary, g.samples[len(g.samples)-1], true
}

// ProvenAt returns when the current primary last proved its lead; zero if never.
func (g *Group) ProvenAt() time.Duration { return g.provenAt }

// Term returns the highest term seen.
func (g *Group) Term() uint64 { return g.term }

// Floor returns a point that holds every commit acknowledged maxStale before
// now: the oldest one that is recent enough, which most replicas hold. It
// reports false if no sample is recent enough.
func (g *Group) Floor(now, maxStale time.Duration) (state.Point, bool) {
	for _, s := range g.samples {
		if s.At >= now-maxStale {
			return s.Point, true
		}
	}
	return state.Point{}, false
}

// Cover returns the point that holds both the floor and the session's own
// commits. A point of an earlier term may name a tail that a promotion dropped;
// every point of the current term holds what survived of it.
func Cover(floor, own state.Point) state.Point {
	if own.Term > floor.Term || own.Term == floor.Term && own.Position > floor.Position {
		return own
	}
	return floor
}

// Deny records that the server refused as a replica what only a primary runs.
func (g *Group) Deny(s *catalog.Server) {
	v := g.server(s.ID)
	v.denied, v.deniedAt = true, s.Revision
}

// Primary returns the server to ask as the primary, or nil. A server that
// denied its lead is asked again when it registers the role anew.
func (g *Group) Primary(servers []*catalog.Server, now time.Duration) *catalog.Server {
	var best *catalog.Server
	bestRank := -1
	for _, s := range servers {
		rank := g.primaryRank(s, now)
		if rank > bestRank || rank == bestRank && rank >= 0 && s.Revision > best.Revision {
			best, bestRank = s, rank
		}
	}
	return best
}

func (g *Group) primaryRank(s *catalog.Server, now time.Duration) int {
	v := g.server(s.ID)
	proven := s.ID == g.primary
	if !proven && !s.Primary || v.denied && s.Revision <= v.deniedAt {
		return -1
	}
	rank := 0
	if proven {
		rank = 1
	}
	if now >= v.suspectUntil {
		rank += 2
	}
	return rank
}

// Reader returns the server with the least cost for a read that needs the
// point, or nil. Servers in tried are left out.
func (g *Group) Reader(d *catalog.Deployment, servers []*catalog.Server, dataCentre string, need state.Point, tried map[string]bool, now time.Duration) *catalog.Server {
	var best *catalog.Server
	var bestCost float64
	for _, s := range servers {
		if !d.Usable(s) || tried[s.ID] {
			continue
		}
		cost, ok := g.readCost(s, dataCentre, need, now)
		if ok && (best == nil || cost < bestCost) {
			best, bestCost = s, cost
		}
	}
	return best
}

func (g *Group) readCost(s *catalog.Server, dataCentre string, need state.Point, now time.Duration) (float64, bool) {
	v := g.server(s.ID)
	if now < v.suspectUntil {
		return 0, false
	}
	latency := v.latency
	if s.DataCentre != dataCentre {
		latency += remotePenalty
	}
	cost := float64(latency) * float64(1+v.outstanding) * (1 + failurePenalty*v.failureShare(now))
	if s.ID == g.primary {
		return cost * primaryPenalty, true
	}
	covers := v.applied.Term == need.Term && v.applied.Position >= need.Position
	return cost, covers || now >= v.lagUntil
}

// Sent records that a statement was sent to the server.
func (g *Group) Sent(id string) { g.server(id).outstanding++ }

// CountRead counts a read, which allows a part of a second attempt.
func (g *Group) CountRead() { g.hedges = min(g.hedges+hedgeShare, maxHedges) }

// Hedge reports whether a read may run on a second server, and counts it.
func (g *Group) Hedge() bool {
	if g.hedges < 1 {
		return false
	}
	g.hedges--
	return true
}

// Outcome is what the end of a statement says of the server.
type Outcome uint8

// Outcomes.
const (
	Answered Outcome = iota // the statement succeeded
	Failing                 // it failed, or no answer came
	Declined                // not run, for a reason that says nothing of the server's health
)

// Done records the end of a statement at now: the outcome, after what time, and
// where the server's log stood.
func (g *Group) Done(id string, o Outcome, took time.Duration, at state.Point, now time.Duration) {
	v := g.server(id)
	v.outstanding--
	if o == Declined {
		return
	}
	failed := 0.0
	if o == Failing {
		failed = 1
	}
	v.failing = v.failureShare(now)
	v.failing += failureWeight * (failed - v.failing)
	v.failedAt = now
	if o == Failing {
		return
	}
	v.latency += time.Duration(latencyWeight * float64(took-v.latency))
	if at.Term > v.applied.Term || at.Term == v.applied.Term && at.Position > v.applied.Position {
		v.applied = at
	}
}

// failureShare returns the share of the latest statements that failed, less the
// longer ago that was.
func (v *server) failureShare(now time.Duration) float64 {
	if v.failing == 0 {
		return 0
	}
	return v.failing * math.Exp2(-float64(now-v.failedAt)/float64(failureHalfLife))
}

// Suspect keeps work away from a server that broke a connection or was silent.
func (g *Group) Suspect(id string, now time.Duration) { g.server(id).suspectUntil = now + suspectFor }

// Suspected reports whether work is kept away from the server.
func (g *Group) Suspected(id string, now time.Duration) bool { return now < g.server(id).suspectUntil }

// Lags records that a replica lacked a point it was asked for.
func (g *Group) Lags(id string, now time.Duration) { g.server(id).lagUntil = now + lagFor }

// Reborn forgets what was seen of a server that started anew without its log.
func (g *Group) Reborn(id string, born int64) {
	v := g.server(id)
	if v.born == born {
		return
	}
	known := v.born != 0
	v.born = born
	if known {
		v.applied, v.denied, v.suspectUntil, v.lagUntil = state.Point{}, false, 0, 0
		v.latency, v.failing = initialLatency, 0
	}
}
