package connbudget

import (
	"cmp"
	"slices"
	"time"
)

// Demand is what an owner asks of the budget of a server.
type Demand struct {
	Owner  string
	Base   int     // connections that it gets in any case
	Weight float64 // its part of what is left, in proportion
}

// Apportion divides the budget. The sum of the parts is the budget, or the sum of the
// bases if that is greater. Owners with equal remainders are ordered by name, so that all
// VMs compute the same.
func Apportion(budget int, demands []Demand) map[string]int {
	parts := make(map[string]int, len(demands))
	total := 0.0
	for _, d := range demands {
		parts[d.Owner] = d.Base
		budget -= d.Base
		total += d.Weight
	}
	if budget <= 0 || total <= 0 {
		return parts
	}
	type remainder struct {
		owner string
		part  float64
	}
	remainders := make([]remainder, 0, len(demands))
	left := budget
	for _, d := range demands {
		exact := float64(budget) * d.Weight / total
		whole := int(exact)
		parts[d.Owner] += whole
		left -= whole
		remainders = append(remainders, remainder{d.Owner, exact - float64(whole)})
	}
	slices.SortFunc(remainders, func(a, b remainder) int {
		return cmp.Or(cmp.Compare(b.part, a.part), cmp.Compare(a.owner, b.owner))
	})
	for i := 0; i < min(left, len(remainders)); i++ {
		parts[remainders[i].owner]++
	}
	return parts
}

// riseDelay is how long a share that rises is not used yet, so that the VM whose share
// falls can close idle connections first. It does not cover statements that still run
// there: after the loss of an owner its customers would wait for that long, and the server
// refuses connections beyond its limit itself.
const riseDelay = 50 * time.Millisecond

// Share is an owner's share of the connections to a server. A lower plan takes effect at
// once, a higher one after riseDelay.
type Share struct {
	current int
	planned int
	since   time.Time // of the plan
	known   bool
}

// Plan records the share that the present view gives.
func (s *Share) Plan(planned int, now time.Time) {
	if !s.known {
		s.known, s.current, s.planned = true, planned, planned
		return
	}
	s.current = s.At(now)
	if planned != s.planned {
		s.planned, s.since = planned, now
	}
	s.current = min(s.current, planned)
}

// At returns the share that may be used. It is one before the first plan.
func (s *Share) At(now time.Time) int {
	if !s.known {
		return 1
	}
	if now.Sub(s.since) >= riseDelay {
		return s.planned
	}
	return s.current
}
