// Package leadership tracks the primary of each group and selects the servers for
// writes and reads.
//
// There are three sources of information about the primary, of different age: the
// role that a server registers, the role in its answers, and a confirmation of its
// leadership, which is a statement of a writing transaction that the server ran.
// A server that is no longer the primary refuses such statements. Consistency
// depends on confirmations only; the other two are hints about which server to try.
//
// Times are readings of a monotonic clock of this VM that advances while the VM
// is suspended.
package leadership

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/balance"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

const (
	// sampleSpacing and maxSamples retain samples for 6 s, which exceeds every
	// staleness bound that operators set.
	sampleSpacing = 50 * time.Millisecond
	maxSamples    = 120
	// suspectTTL is how long a server is avoided after a lost connection or a
	// missing answer.
	suspectTTL = time.Second
	// lagPeriod is how long a replica that lacked a point is avoided. Replicas
	// receive records within tens of milliseconds.
	lagPeriod = 40 * time.Millisecond
	// failureWeight is the weight of the latest outcome in the moving average of a
	// server's failure rate. The rate decays with failureHalfLife, so that the
	// server is tried again.
	failureWeight   = 0.15
	failureHalfLife = 2 * time.Second
	// hedgeRatio is the fraction of the reads that may be hedged, which means sent
	// to a second server because the first has not answered. It covers the slowest
	// reads and adds little load if all servers are slow. Up to maxHedges unused
	// hedges accumulate.
	hedgeRatio = 0.05
	maxHedges  = 10.0
)

// Sample states that Point includes every commit acknowledged before At.
type Sample struct {
	At    time.Duration
	Point state.Point
}

// serverStats holds this VM's observations of a backend server.
type serverStats struct {
	startTime       int64 // Unix milliseconds
	applied         state.Point
	deniedRevision  uint64 // revision of the registration at the time of the refusal
	denied          bool   // the server refused, as a replica, a statement for the primary
	suspectUntil    time.Duration
	lagUntil        time.Duration
	latency         balance.Latency
	returnedAt      time.Duration // see balance.Server
	restarted       bool          // since the latest choice of a reader
	outstanding     int
	overdue         bool    // see balance.Server
	failureRate     float64 // moving average of failed statements, as of failureRateTime
	failureRateTime time.Duration
}

// Group holds what this VM knows about the leadership of a group.
type Group struct {
	primary     string
	designated  string // only server that may be the primary; "" if any may be
	term        uint64
	confirmedAt time.Duration
	firstPoint  state.Point // end of the primary's log in the first confirmation of this primary
	tookOver    bool        // the primary had not committed anything then, see Diverged
	samples     []Sample    // in ascending order, all of the current term
	servers     map[string]*serverStats
	hedges      float64 // hedged reads that are allowed now
	random      rand.PCG
	choices     [balance.NumTiers]uint64 // reads by the tier of the chosen server
}

// Table holds the leadership of all groups by name.
type Table struct {
	mu     lockrank.Mutex // guards groups and everything reachable from it
	groups map[string]*Group
	seed   string
}

// NewTable returns an empty table.
func NewTable() *Table { return NewSeededTable("") }

// NewSeededTable returns an empty table. The seed, such as the name of the VM, differs
// between VMs, so that they choose servers independently; their choices repeat in a
// test that plays the same events.
func NewSeededTable(seed string) *Table {
	return &Table{mu: lockrank.New(lockrank.Groups), groups: make(map[string]*Group), seed: seed}
}

// With calls f with the named group under the table's lock. f must not retain the
// group.
func (t *Table) With(name string, f func(*Group)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[name]
	if g == nil {
		g = &Group{servers: make(map[string]*serverStats)}
		g.random.Seed(hash(t.seed), hash(name))
		t.groups[name] = g
	}
	f(g)
}

func (g *Group) server(id string) *serverStats {
	s := g.servers[id]
	if s == nil {
		s = &serverStats{}
		g.servers[id] = s
	}
	return s
}

// RecordConfirmation records that the server was the primary at sentAt or later,
// with a log that ended at p. Confirmations of earlier terms than the latest, and of
// other servers than the designated one, are ignored, and so are older ones of another
// server: until a new primary has committed, its log ends in the term of the former one.
func (g *Group) RecordConfirmation(id string, p state.Point, sentAt time.Duration) {
	if p.Term < g.term || p.Term == 0 || g.designated != "" && id != g.designated {
		return
	}
	if p.Term == g.term && id != g.primary && sentAt < g.confirmedAt {
		return
	}
	if id != g.primary || p.Term > g.term && !g.tookOver {
		g.firstPoint = p
		g.tookOver = g.primary != "" && id != g.primary && p.Term == g.term
	}
	if p.Term > g.term {
		g.samples = g.samples[:0]
		g.term = p.Term
		g.confirmedAt = 0
	}
	g.primary = id
	s := g.server(id)
	s.denied = false
	g.confirmedAt = max(g.confirmedAt, sentAt)
	g.addSample(Sample{At: sentAt, Point: p})
}

// addSample appends a sample, or replaces the latest one if that is less than
// sampleSpacing after its predecessor. All samples but the latest are therefore at
// least sampleSpacing apart.
func (g *Group) addSample(s Sample) {
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

// LatestConfirmation returns the primary and the sample of the latest
// confirmation. It reports false if there is no confirmation.
func (g *Group) LatestConfirmation() (string, Sample, bool) {
	if len(g.samples) == 0 {
		return "", Sample{}, false
	}
	return g.primary, g.samples[len(g.samples)-1], true
}

// ConfirmedAt returns the time of the latest confirmation of the current primary,
// or zero.
func (g *Group) ConfirmedAt() time.Duration { return g.confirmedAt }

// ConfirmedPrimary returns the server that confirmed its leadership last, or "".
func (g *Group) ConfirmedPrimary() string { return g.primary }

// FirstPoint returns the end of the log of the server that confirmed its leadership last, in
// the first of its confirmations. It may end in the former term.
func (g *Group) FirstPoint() state.Point { return g.firstPoint }

// Term returns the highest confirmed term.
func (g *Group) Term() uint64 { return g.term }

// Diverged reports whether another server's log that ends at p has commits which are not in
// the log of the server that confirmed its leadership last. They were dropped when that
// server was promoted, so a server whose log has them must not be promoted if another one
// can be. It reports false if that is not known.
//
// The term of a point is that of the last commit. So a log of an earlier term has diverged
// if it is as long as the primary's was at its first confirmation. If the primary had
// committed nothing by then, its log ended in the former term, and a longer log of that term
// has diverged too.
func (g *Group) Diverged(id string, p state.Point) bool {
	if id == g.primary {
		return false
	}
	first := g.firstPoint
	return p.Term < first.Term && p.Position >= first.Position || g.tookOver && p.Term == first.Term && p.Position > first.Position
}

// MinReadPoint returns a point that includes every commit acknowledged more than
// maxStale before now. It returns the oldest sample that is recent enough,
// because that is the one that most replicas hold. It reports false if there is
// none.
func (g *Group) MinReadPoint(now, maxStale time.Duration) (state.Point, bool) {
	for _, s := range g.samples {
		if s.At >= now-maxStale {
			return s.Point, true
		}
	}
	return state.Point{}, false
}

// MaxPoint returns the point that includes both minPoint and the session's own
// commits. A point of an earlier term may lie in a tail of the log that a
// promotion dropped; every point of the current term includes what survived.
func MaxPoint(minPoint, own state.Point) state.Point {
	if own.Term > minPoint.Term || own.Term == minPoint.Term && own.Position > minPoint.Position {
		return own
	}
	return minPoint
}

// Designate records that only the given server may be the primary, because VMs have
// stopped using the others. It may not have taken over yet.
func (g *Group) Designate(id string) { g.designated = id }

// AwaitsDesignated returns the designated server if it has not confirmed its
// leadership yet, or "".
func (g *Group) AwaitsDesignated() string {
	if g.designated == g.primary {
		return ""
	}
	return g.designated
}

// RecordNotPrimary records that the server refused, as a replica, a statement
// that only a primary runs.
func (g *Group) RecordNotPrimary(s *catalog.Server) {
	v := g.server(s.ID)
	v.denied, v.deniedRevision = true, s.Revision
}

// Primary returns the most likely primary, or nil. A server that denied being the
// primary is considered again once it registers as the primary anew. A registration as a
// replica, which a replaced primary sends, does not count.
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

// primaryRank returns the rank of a server as the primary, or -1 if it is not
// eligible. Suspected servers rank below all others; otherwise a confirmed
// primary ranks above one that is only registered.
func (g *Group) primaryRank(s *catalog.Server, now time.Duration) int {
	if g.designated != "" && s.ID != g.designated {
		return -1
	}
	v := g.server(s.ID)
	confirmed := s.ID == g.primary || s.ID == g.designated
	if !confirmed && !s.Primary || v.denied && (s.Revision <= v.deniedRevision || !s.Primary) {
		return -1
	}
	rank := 0
	if confirmed {
		rank = 1
	}
	if now >= v.suspectUntil {
		rank += 2
	}
	return rank
}

// Reader returns the server for a read that needs the point, or nil. It skips the
// servers in tried. See package balance for the choice.
func (g *Group) Reader(d *catalog.Deployment, servers []*catalog.Server, dataCentre string, need state.Point, tried map[string]bool, now time.Duration) *catalog.Server {
	var eligible []*catalog.Server
	var known []balance.Server
	for _, s := range servers {
		if d.Usable(s) && !tried[s.ID] && g.mayRead(s, need, now) {
			eligible = append(eligible, s)
			known = append(known, g.knowledge(s, dataCentre, now))
		}
	}
	chosen := balance.Choose(known, now, rand.New(&g.random).Float64())
	if chosen < 0 {
		return nil
	}
	g.choices[known[chosen].Tier()]++
	return eligible[chosen]
}

// mayRead reports whether the server may run a read. It reports false if the server is
// suspected, or is a replica that recently lagged and is not known to hold the point.
func (g *Group) mayRead(s *catalog.Server, need state.Point, now time.Duration) bool {
	v := g.server(s.ID)
	if now < v.suspectUntil {
		return false
	}
	covers := v.applied.Term == need.Term && v.applied.Position >= need.Position
	return s.ID == g.primary || covers || now >= v.lagUntil
}

// knowledge returns what the choice of a reader depends on.
func (g *Group) knowledge(s *catalog.Server, dataCentre string, now time.Duration) balance.Server {
	v := g.server(s.ID)
	if v.restarted {
		v.restarted, v.returnedAt = false, now
	}
	return balance.Server{
		Latency: v.latency, InFlight: v.outstanding, FailureRate: v.failureRateAt(now), Overdue: v.overdue,
		Remote: s.DataCentre != dataCentre, Primary: s.ID == g.primary, ReturnedAt: v.returnedAt,
	}
}

// StatementSent records that a statement was sent to the server.
func (g *Group) StatementSent(id string) { g.server(id).outstanding++ }

// RecordOverdue records that a read has waited unusually long for the server's answer.
func (g *Group) RecordOverdue(id string) {
	v := g.server(id)
	v.overdue = v.outstanding > 0
}

// CountRead counts a read, which adds hedgeRatio to the allowed hedges.
func (g *Group) CountRead() { g.hedges = min(g.hedges+hedgeRatio, maxHedges) }

// AllowHedge reports whether a read may be hedged, and counts the hedge if so.
func (g *Group) AllowHedge() bool {
	if g.hedges < 1 {
		return false
	}
	g.hedges--
	return true
}

// Outcome classifies the end of a statement with regard to the server's health.
type Outcome uint8

// Values of Outcome.
const (
	Answered Outcome = iota // the statement succeeded
	Failed                  // it failed, or no answer came
	Declined                // not run, for a reason unrelated to the server's health
)

// StatementDone records the end of a statement at now: its outcome, its duration,
// and the position of the server's log.
func (g *Group) StatementDone(id string, o Outcome, took time.Duration, at state.Point, now time.Duration) {
	v := g.server(id)
	v.outstanding--
	v.overdue = false
	if o == Declined {
		return
	}
	failed := 0.0
	if o == Failed {
		failed = 1
	}
	v.failureRate = v.failureRateAt(now)
	v.failureRate += failureWeight * (failed - v.failureRate)
	v.failureRateTime = now
	if o == Failed {
		return
	}
	v.latency.Observe(took, now)
	if at.Term > v.applied.Term || at.Term == v.applied.Term && at.Position > v.applied.Position {
		v.applied = at
	}
}

// failureRateAt returns the moving average of failed statements, decayed to now.
func (v *serverStats) failureRateAt(now time.Duration) float64 {
	if v.failureRate == 0 {
		return 0
	}
	return v.failureRate * math.Exp2(-float64(now-v.failureRateTime)/float64(failureHalfLife))
}

// Suspect makes reads avoid a server for suspectTTL, after a lost connection or a
// missing answer. Writes avoid it too if another server may be the primary.
func (g *Group) Suspect(id string, now time.Duration) {
	v := g.server(id)
	v.suspectUntil = now + suspectTTL
	v.returnedAt = v.suspectUntil
}

// Suspected reports whether the server is being avoided.
func (g *Group) Suspected(id string, now time.Duration) bool { return now < g.server(id).suspectUntil }

// RecordLag records that a replica lacked a requested point.
func (g *Group) RecordLag(id string, now time.Duration) { g.server(id).lagUntil = now + lagPeriod }

// ResetIfRestarted discards the observations of a server whose start time has
// changed, because it may have lost its log. startMillis is in Unix milliseconds.
func (g *Group) ResetIfRestarted(id string, startMillis int64) {
	v := g.server(id)
	if v.startTime == startMillis {
		return
	}
	known := v.startTime != 0
	v.startTime = startMillis
	if known {
		v.applied, v.denied, v.suspectUntil, v.lagUntil = state.Point{}, false, 0, 0
		v.latency, v.failureRate, v.restarted = balance.Latency{}, 0, true
	}
}
