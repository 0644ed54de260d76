// Package balance selects the server of a read from knowledge that is out of date.
//
// Many VMs choose at the same time, and each knows the load of a server only from the
// answers that it has received. If all of them took the server that looks best, they
// would overload it until later answers arrive. A VM therefore draws the server at
// random. Old knowledge changes the probabilities in proportion only; the number of the
// VM's own statements in flight, which is known at once, changes them strongly.
//
// Times are readings of a monotonic clock of this VM.
package balance

import (
	"math"
	"time"
)

const (
	// initialLatency is assumed if no server has answered yet.
	initialLatency = 10 * time.Millisecond
	// latencyWeight is the weight of the latest answer in the moving average of a
	// server's latency.
	latencyWeight = 0.2
	// fewAnswers is the number of answers that count as much as those of other servers. The
	// first ones may include the opening of a connection.
	fewAnswers = 4
	// usualHalfLife is the time in which half of a lasting change of a server's latency
	// counts as usual.
	usualHalfLife = time.Minute
	// ageHalfLife is the time in which half of the difference from the usual latency is
	// forgotten. Without ageing the load oscillates if 300 VMs have knowledge of 3 s ago;
	// with 1 s a slow server gets too much work.
	ageHalfLife = 4 * time.Second
	// remotePenalty and remoteFactor raise the cost of servers in other data centres,
	// because traffic to them is charged: callers must be served clearly earlier there.
	// The latency itself includes the way. With a factor of 1.5, callers wait longer where
	// one data centre has half of the load.
	remotePenalty = 4 * time.Millisecond
	remoteFactor  = 1.25
	// primaryPenalty multiplies the cost of a read on the primary, to keep its capacity
	// for the work that only it can run. With 1.5, writes on a busy primary wait several
	// times as long (docs/measurements.md).
	primaryPenalty = 8
	// failurePenalty raises the cost of a read on a server that fails all statements to
	// that of nine times its latency, because the read has to be repeated elsewhere.
	failurePenalty = 8
	// inFlightExponent is the exponent of the statements in flight in a server's weight.
	// A lower one leaves a VM's own work less even. Latency has the exponent 1: with 2,
	// the load oscillates if knowledge is 3 s old (docs/measurements.md).
	inFlightExponent = 4
	// A server is avoided while this VM has seen itself that it fails statements or does
	// not answer, and there is a server with less than half as much of that. A failure
	// rate of 1/failurePenalty weighs as much as avoidInFlight statements in flight, a
	// number that a VM reaches only if it is alone or the server hangs.
	avoidRatio    = 2
	avoidInFlight = 10
	// primaryTrouble makes a replica one to avoid later if only the primary is better.
	primaryTrouble = 1.5
	// overdueFactor makes a server with an overdue read one to avoid. Otherwise each
	// further read on a server that hangs would have to wait until it is hedged. It does
	// not apply to a server whose latency is over slowLatency, for which an overdue read
	// says nothing new: in a burst, reads would all move to the servers without one.
	overdueFactor = 3
	slowLatency   = 50 * time.Millisecond
	// returnTime is how long the load of a server rises after it was suspected or has
	// restarted, from minReturn of its share.
	returnTime = 2 * time.Second
	minReturn  = 0.1
)

// Latency is what a VM has learned of the time until a server answers.
type Latency struct {
	Recent    time.Duration // moving average of the latest answers
	Usual     time.Duration // average over the last minutes
	LearnedAt time.Duration // time of the latest answer; zero if there was none
	answers   int           // number so far
}

// Observe records an answer.
func (l *Latency) Observe(took, now time.Duration) {
	l.answers++
	all := 1 / float64(l.answers) // weight of the latest answer in the mean of all answers
	forgotten := 1 - math.Exp2(-float64(max(now-l.LearnedAt, 0))/float64(usualHalfLife))
	l.Usual += time.Duration(max(all, forgotten) * float64(took-l.Usual))
	l.Recent += time.Duration(max(all, latencyWeight) * float64(took-l.Recent))
	l.LearnedAt = now
}

// estimate returns the expected latency in ns. The older the knowledge, the closer it is
// to the usual latency. That of a server with few answers is close to others, the usual
// latency of all servers.
func (l *Latency) estimate(others float64, now time.Duration) float64 {
	known := float64(l.answers) / float64(l.answers+fewAnswers)
	fresh := math.Exp2(-float64(max(now-l.LearnedAt, 0)) / float64(ageHalfLife))
	expected := float64(l.Usual) + float64(l.Recent-l.Usual)*fresh
	return max(others+(expected-others)*known, 1)
}

// Server is what a VM knows of a server that can run a read.
type Server struct {
	Latency     Latency
	InFlight    int     // statements of this VM without an answer
	FailureRate float64 // moving average of failed statements, from 0 to 1
	Overdue     bool    // a read has waited unusually long, and no statement has ended since
	Remote      bool    // in another data centre than this VM
	Primary     bool
	ReturnedAt  time.Duration // end of the latest suspicion, or time of a restart; zero if there was none
}

// Tier is a set of servers that are equally well suited for a read. Reads go to a later
// tier only to the extent that the earlier ones are clearly slower.
type Tier uint8

// Tiers in the order in which they are used.
const (
	LocalReplica Tier = iota
	LocalPrimary
	RemoteReplica
	RemotePrimary
	NumTiers
)

// Tier returns the tier of the server.
func (s *Server) Tier() Tier {
	switch {
	case s.Remote && s.Primary:
		return RemotePrimary
	case s.Remote:
		return RemoteReplica
	case s.Primary:
		return LocalPrimary
	}
	return LocalReplica
}

// candidate is a server with the numbers that the choice depends on.
type candidate struct {
	tier   Tier
	cost   float64 // compared between tiers
	weight float64 // relative probability inside the tier; zero if the server is avoided
}

// Choose returns the index of the server for a read, or -1 if there are none. draw is
// uniformly distributed in [0, 1).
func Choose(servers []Server, now time.Duration, draw float64) int {
	candidates := evaluate(servers, now)
	for tier := range NumTiers {
		own, later := bestCosts(candidates, tier)
		if math.IsInf(own, 1) {
			continue
		}
		leaving := spill(own, later)
		if draw >= leaving {
			return pick(candidates, tier, (draw-leaving)/(1-leaving))
		}
		draw /= leaving
	}
	return -1
}

// evaluate returns the candidates in the order of servers.
func evaluate(servers []Server, now time.Duration) []candidate {
	usual := usualLatency(servers)
	leastTrouble := math.Inf(1)
	for i := range servers {
		trouble := servers[i].trouble()
		if servers[i].Primary {
			trouble *= primaryTrouble
		}
		leastTrouble = min(leastTrouble, trouble)
	}
	candidates := make([]candidate, len(servers))
	for i := range servers {
		s := &servers[i]
		c := candidate{tier: s.Tier()}
		if s.trouble() < avoidRatio*leastTrouble {
			cost := s.Latency.estimate(usual, now) * s.failureFactor() / s.returnShare(now)
			inFlight := float64(1 + s.InFlight)
			c.weight = 1 / (cost * math.Pow(inFlight, inFlightExponent))
			c.cost = cost * inFlight
			if s.Remote {
				c.cost = (c.cost + float64(remotePenalty)) * remoteFactor
			}
			if s.Primary {
				c.cost *= primaryPenalty
			}
		}
		candidates[i] = c
	}
	return candidates
}

func (s *Server) failureFactor() float64 { return 1 + failurePenalty*s.FailureRate }

// trouble grows with the failures and missing answers that this VM has seen itself.
func (s *Server) trouble() float64 {
	t := s.failureFactor() * (1 + float64(s.InFlight)/avoidInFlight)
	if s.Overdue && s.Latency.Recent < slowLatency {
		t *= overdueFactor
	}
	return t
}

// returnShare returns the part of its usual share that a server gets that has returned.
func (s *Server) returnShare(now time.Duration) float64 {
	if s.ReturnedAt == 0 {
		return 1
	}
	return min(max(float64(now-s.ReturnedAt)/float64(returnTime), minReturn), 1)
}

// usualLatency returns the mean of the usual latencies of all servers in ns.
func usualLatency(servers []Server) float64 {
	sum, n := 0.0, 0
	for i := range servers {
		if servers[i].Latency.LearnedAt != 0 {
			sum += float64(servers[i].Latency.Usual)
			n++
		}
	}
	if n == 0 {
		return float64(initialLatency)
	}
	return max(sum/float64(n), 1)
}

// bestCosts returns the lowest cost in the tier and in all later ones, infinite if there
// is no server.
func bestCosts(candidates []candidate, tier Tier) (own, later float64) {
	own, later = math.Inf(1), math.Inf(1)
	for _, c := range candidates {
		switch {
		case c.weight == 0:
		case c.tier == tier:
			own = min(own, c.cost)
		case c.tier > tier:
			later = min(later, c.cost)
		}
	}
	return own, later
}

// spill returns the share of the reads that go to later tiers: what a server slowed by
// own/later cannot serve. A threshold in its place would make all VMs leave and return
// at once.
func spill(own, later float64) float64 { return max(1-later/own, 0) }

// pick draws a server of the tier by weight.
func pick(candidates []candidate, tier Tier, draw float64) int {
	total := 0.0
	for _, c := range candidates {
		if c.tier == tier {
			total += c.weight
		}
	}
	chosen := -1
	rest := draw * total
	for i, c := range candidates {
		if c.tier != tier || c.weight == 0 {
			continue
		}
		chosen = i
		if rest -= c.weight; rest < 0 {
			break
		}
	}
	return chosen
}
