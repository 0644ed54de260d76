package share

import (
	"slices"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/lease"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// maxBrokenRuleRuns is the number of random runs within which a broken rule must lead
// to a violation.
const maxBrokenRuleRuns = 100

// rule is a rule of the protocol together with hooks that break it.
type rule struct {
	name   string
	broken hooks
	// script sets up the situation in which the rule matters, if random runs seldom
	// reach it.
	script func(w *simulation)
}

// faultFreePlan is the plan for scripts.
var faultFreePlan = plan{Layout: []int{3}, Clocks: "fast"}

// startSecondProcess starts a second process of vm1 at 10 s while the first continues.
func startSecondProcess(w *simulation) {
	w.f.after(10*time.Second, func() { w.f.start("vm1", "dc1", w.speed(), w.f.config) })
}

// saturateBuckets lets the buckets fill, then sends enough requests to spend every
// token at once, and starts a second process of vm1. If the bucket of that process
// started full, it would hold tokens that the first process has spent.
func saturateBuckets(w *simulation) {
	const begin = 25 * time.Second
	w.f.after(begin+5*time.Second, func() { w.f.start("vm1", "dc1", w.speed(), w.f.config) })
	w.script = func(string) (*process, float64) {
		if w.f.now < begin {
			return nil, 10
		}
		running := w.f.running()
		return running[w.f.rng.IntN(len(running))], 10
	}
}

// delayAnswersToFirstProcess starts a second process of vm1 and delays all messages to
// the first one, so that it learns late of the second.
func delayAnswersToFirstProcess(w *simulation) {
	startSecondProcess(w)
	normalLatency := w.f.latency
	w.f.latency = func(from, to *process) time.Duration {
		if w.f.now > 5*time.Second && to.name == "vm1" && to.incarnation == 1 {
			return 2500 * time.Millisecond
		}
		return normalLatency(from, to)
	}
}

// restartUninformedVoter starts a second process of vm1 that vm3 learns of but vm2 does
// not, and restarts vm2.
func restartUninformedVoter(w *simulation) {
	startSecondProcess(w)
	w.f.blocked = func(from, to *process) bool {
		return w.f.now < 13500*time.Millisecond && w.f.now > 10*time.Second &&
			(to.name == "vm2" && (from.name != "vm1" || from.incarnation == 2) || from.name == "vm3" && to.incarnation == 1)
	}
	w.f.after(13500*time.Millisecond, func() {
		w.f.current["vm2"].dead = true
		w.f.start("vm2", "dc1", w.speed(), w.f.config)
	})
}

// borrowLargeLoans makes vm1, whose clock is slow, borrow the shares of the other VMs,
// which periodically need them back.
func borrowLargeLoans(w *simulation) {
	addCustomer(w.f.config, "large", 900, 9)
	w.limits["large"] = &referenceBucket{rate: 900, burst: 9, level: 9}
	w.f.after(0, func() { w.f.current["vm1"].speed = 0.99 })
	w.script = func(customer string) (*process, float64) {
		p := w.f.current["vm1"]
		if others := w.f.running(); int(w.f.now/(4*time.Second))%2 == 1 {
			p = others[w.f.rng.IntN(len(others))]
		}
		if customer != "large" {
			p = nil
		}
		return p, 3
	}
}

// replaceLender replaces a VM that has lent its share. The new process gets requests
// of its own, while messages of the borrower still reach the old one.
func replaceLender(w *simulation) {
	borrowLargeLoans(w)
	w.f.after(15*time.Second, func() { w.f.start("vm2", "dc1", w.speed(), w.f.config) })
	w.f.route = func(from *process, name string) *process {
		if from.name == "vm1" && name == "vm2" {
			return w.f.procs[1]
		}
		return w.f.target(name)
	}
	w.script = func(customer string) (*process, float64) {
		p := w.f.current["vm1"]
		if w.f.now > 15*time.Second && w.f.rng.IntN(2) == 0 {
			p = w.f.current["vm2"]
		}
		if customer != "large" {
			p = nil
		}
		return p, 4
	}
}

// delayAnswers delays the answers to vm1 by 500 ms.
func delayAnswers(w *simulation) {
	borrowLargeLoans(w)
	normalLatency := w.f.latency
	w.f.latency = func(from, to *process) time.Duration {
		if to.name == "vm1" {
			return 500 * time.Millisecond
		}
		return normalLatency(from, to)
	}
}

// restartLender makes vm1 borrow connections of the other VMs, which then need them
// themselves, and restarts one of these. The connections that its old process lent
// are in use until after the lease hold of the new one has begun.
func restartLender(w *simulation) {
	const restart = 10500 * time.Millisecond // right after a renewal of the loans
	w.wanted = func(p *process) int {
		if p.name == "vm1" || w.f.now >= restart {
			return 20
		}
		return 0
	}
	w.f.after(restart, func() {
		w.f.current["vm2"].dead = true
		w.f.start("vm2", "dc1", w.speed(), w.f.config)
	})
}

// lentRecord returns the lender's record of a loan, or nil.
func lentRecord(s *state.Shares, from Peer, req LoanRequest) *state.GrantedLoan {
	var book *state.LoanBook
	switch {
	case req.Resource == Connections && s.Servers[req.Name] != nil:
		book = &s.Servers[req.Name].Loans
	case req.Resource == Requests && s.Customers[req.Name] != nil:
		book = &s.Customers[req.Name].Loans
	default:
		return nil
	}
	for i := range book.Lent {
		if r := &book.Lent[i]; r.Borrower == from.Name && r.Incarnation == from.Incarnation && r.Number == req.Number {
			return r
		}
	}
	return nil
}

// keepOnlyNewestTicket makes a process respect only its newest ticket.
func keepOnlyNewestTicket(p *process) {
	p.tables.Shares.With(func(s *state.Shares) {
		s.Tickets = s.Tickets[len(s.Tickets)-1:]
		s.Agreed = s.Tickets[0].Config.Ticket.Number
		updateBaseShares(s)
	})
}

// startHoldWithOwnVote starts a lease hold with as many confirmations as suffice only
// to extend one.
func startHoldWithOwnVote(p *process) {
	voters := lease.VotersOf(p.tables.Config.Current(), p.name)
	names := voters.VMs
	if voters.Store {
		names = append(slices.Clone(names), lease.Store)
	}
	now := p.local()
	p.tables.Lease.With(func(l *state.Lease) {
		var sent []time.Time
		for _, name := range names {
			sent = append(sent, l.Confirmed[name])
		}
		slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
		until := sent[(len(names)+1)/2-1].Add(lease.Duration)
		if !l.Superseded && !l.Hold.Valid(now) && until.After(now) {
			l.Hold = state.LeaseHold{Since: now, Until: until}
		}
	})
}

func brokenRules() []rule {
	held := make(map[*process]time.Time)
	var until time.Time
	return []rule{
		{name: "lender reclaims without margin", script: borrowLargeLoans, broken: hooks{granted: func(p *process, from Peer, req LoanRequest) {
			p.tables.Shares.With(func(s *state.Shares) {
				if r := lentRecord(s, from, req); r != nil && !r.Refused {
					r.EndsAt = p.local().Add(req.Period)
				}
			})
		}}},
		{name: "borrower counts from the receipt", script: delayAnswers, broken: hooks{receiving: func(p *process, _ LoanAnswer, sentAt *time.Time) {
			*sentAt = p.local()
		}}},
		{name: "borrower counts tokens twice", broken: hooks{receiving: func(p *process, a LoanAnswer, _ *time.Time) {
			p.tables.Shares.With(func(s *state.Shares) {
				if ref, ok := s.Borrowed[a.Number]; ok && !ref.Connections {
					b := s.Customers[ref.Name].Loans.Borrowed
					for i := range b {
						if b[i].Number == a.Number {
							b[i].Phase = state.LoanRequested
						}
					}
				}
			})
		}}},
		{name: "lender forgets repeated requests", broken: hooks{granting: func(p *process, req LoanRequest) {
			p.tables.Shares.With(func(s *state.Shares) {
				if c := s.Customers[req.Name]; c != nil {
					for i := range c.Loans.Lent {
						if c.Loans.Lent[i].Number == req.Number {
							c.Loans.Lent[i].Rate, c.Loans.Lent[i].Burst = 0, 0
						}
					}
				}
			})
		}}},
		{name: "lender's hold ends before its loans", script: replaceLender, broken: hooks{
			granting: func(p *process, _ LoanRequest) {
				p.tables.Lease.With(func(l *state.Lease) {
					until = l.Hold.Until
					if l.Hold.Valid(p.local()) {
						l.Hold.Until = until.Add(time.Minute)
					}
				})
			},
			granted: func(p *process, _ Peer, _ LoanRequest) {
				p.tables.Lease.With(func(l *state.Lease) { l.Hold.Until = until })
			},
		}},
		{name: "spends without lease", broken: hooks{counted: func(p *process) {
			p.tables.Lease.With(func(l *state.Lease) {
				if !l.Hold.Since.IsZero() {
					l.Hold.Until = p.local().Add(time.Hour)
				}
			})
		}}},
		{name: "hold counts from the receipt", script: delayAnswersToFirstProcess, broken: hooks{counting: func(p *process) {
			p.tables.Lease.With(func(l *state.Lease) {
				for n, q := range l.Queries {
					q.SentAt = p.local()
					l.Queries[n] = q
				}
			})
		}}},
		{name: "own vote starts a hold", broken: hooks{counted: startHoldWithOwnVote}},
		{name: "voter confirms the next process at once", broken: hooks{voting: func(p *process, from string) {
			p.tables.Lease.With(func(l *state.Lease) { l.Record(from).Confirmed = 0 })
		}}},
		{name: "voter confirms right after its start", script: restartUninformedVoter, broken: hooks{started: func(p *process) {
			lease.Start(p.tables.Lease, p.local().Add(-time.Minute))
		}}},
		{name: "bucket starts full", script: saturateBuckets, broken: hooks{recomputed: func(p *process) {
			hold := p.tables.Lease.Hold()
			p.tables.Shares.With(func(s *state.Shares) {
				if p.incarnation == 1 || !hasAgreedTicket(s) || hold.Since.Equal(held[p]) {
					return
				}
				held[p] = hold.Since
				for _, c := range s.Customers {
					c.Level = capacity(c)
				}
			})
		}}},
		{name: "bucket is refilled at the full rate", broken: hooks{recomputed: func(p *process) {
			p.tables.Shares.With(func(s *state.Shares) {
				updateBaseShares(s)
				for _, c := range s.Customers {
					c.Base.Rate /= refillFactor
				}
			})
		}}},
		{name: "only the newest ticket counts", broken: hooks{recomputed: keepOnlyNewestTicket}},
		{name: "ticket reported although loans exceed it", broken: hooks{report: func(p *process, _ uint64) uint64 {
			return p.tables.Config.Current().Ticket.Number
		}}},
		{name: "new process uses all its connections", script: restartLender, broken: hooks{recomputed: func(p *process) {
			p.tables.Shares.With(func(s *state.Shares) { s.PredecessorLoansEnd = time.Time{} })
		}}},
	}
}

// firstViolation returns the first violation that breaking the rule leads to.
func (r rule) firstViolation() string {
	if r.script != nil {
		violation, _ := faultFreePlan.run(r.broken, r.script)
		return violation
	}
	for i := range maxBrokenRuleRuns {
		if violation, _ := plans.Example(i).run(r.broken, nil); violation != "" {
			return violation
		}
	}
	return ""
}

// Guards against checks that do not detect a broken rule, and against rules that are
// not needed.
func TestBrokenRulesAreNoticed(t *testing.T) {
	for _, r := range brokenRules() {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			violation := r.firstViolation()
			if violation == "" {
				t.Error("breaking the rule led to no violation")
			}
			t.Log(violation)
			if r.script == nil {
				return
			}
			if violation, spends := faultFreePlan.run(hooks{}, r.script); violation != "" || spends == 0 {
				t.Errorf("rule intact: %d requests granted, violation: %q", spends, violation)
			}
		})
	}
}
