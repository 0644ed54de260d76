package share

import (
	"slices"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/lease"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// brokenPlans bounds the random runs in which a broken rule must be noticed.
const brokenPlans = 100

// rule is a decision with one rule left out.
type rule struct {
	name   string
	broken hooks
	// script sets up the situation in which the rule matters, where random runs
	// seldom come to it.
	script func(w *world)
}

// calm is the plan that scripts run in.
var calm = plan{Layout: []int{3}, Clocks: "fast"}

// twoOfVM1 starts a second process of vm1 at 10 s while the first goes on.
func twoOfVM1(w *world) {
	w.f.after(10*time.Second, func() { w.f.start("vm1", "dc1", w.speed(), w.f.config) })
}

// saturate lets the buckets fill, then sends so much that every token is spent
// at once, and starts a second process of vm1. A bucket that starts full then
// holds tokens that the first process has spent.
func saturate(w *world) {
	const begin = 25 * time.Second
	w.f.after(begin+5*time.Second, func() { w.f.start("vm1", "dc1", w.speed(), w.f.config) })
	w.script = func(string) (*proc, float64) {
		if w.f.now < begin {
			return nil, 10
		}
		running := w.f.running()
		return running[w.f.rng.IntN(len(running))], 10
	}
}

// lateAnswers delays what the first process of vm1 is answered, and keeps it
// from hearing of the second one otherwise.
func lateAnswers(w *world) {
	twoOfVM1(w)
	quick := w.f.latency
	w.f.latency = func(from, to *proc) time.Duration {
		if w.f.now > 5*time.Second && to.name == "vm1" && to.incarnation == 1 {
			return 2500 * time.Millisecond
		}
		return quick(from, to)
	}
}

// forgetfulVoter keeps vm2 from hearing of the second process of vm1 while vm3
// does, and restarts vm2.
func forgetfulVoter(w *world) {
	twoOfVM1(w)
	w.f.cut = func(from, to *proc) bool {
		return w.f.now < 13500*time.Millisecond && w.f.now > 10*time.Second &&
			(to.name == "vm2" && (from.name != "vm1" || from.incarnation == 2) || from.name == "vm3" && to.incarnation == 1)
	}
	w.f.after(13500*time.Millisecond, func() {
		w.f.current["vm2"].dead = true
		w.f.start("vm2", "dc1", w.speed(), w.f.config)
	})
}

// largeLoans makes vm1, whose clock is slow, borrow the shares of the others,
// which need them back from time to time.
func largeLoans(w *world) {
	addCustomer(w.f.config, "large", 900, 9)
	w.limits["large"] = &ideal{rate: 900, burst: 9, level: 9}
	w.f.after(0, func() { w.f.current["vm1"].speed = 0.99 })
	w.script = func(customer string) (*proc, float64) {
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

// replacedLender replaces a VM that lends its share. The new process has
// requests of its own, while the borrower still knows the old one.
func replacedLender(w *world) {
	largeLoans(w)
	w.f.after(15*time.Second, func() { w.f.start("vm2", "dc1", w.speed(), w.f.config) })
	w.f.address = func(from *proc, name string) *proc {
		if from.name == "vm1" && name == "vm2" {
			return w.f.procs[1]
		}
		return w.f.target(name)
	}
	w.script = func(customer string) (*proc, float64) {
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

// slowAnswers delays the answers to vm1 by 500 ms.
func slowAnswers(w *world) {
	largeLoans(w)
	quick := w.f.latency
	w.f.latency = func(from, to *proc) time.Duration {
		if to.name == "vm1" {
			return 500 * time.Millisecond
		}
		return quick(from, to)
	}
}

// restartedLender makes vm1 borrow connections of the others, which then need
// theirs themselves, and restarts one of them. What its process has lent is in
// use until after the hold of the next one has begun.
func restartedLender(w *world) {
	const restart = 10500 * time.Millisecond // right after a renewal of the loans
	w.wanted = func(p *proc) int {
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

// record finds the lender's record of a loan.
func record(s *state.Shares, from Peer, req LoanRequest) *state.Lent {
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

// newestOnly makes a process keep to its newest ticket only.
func newestOnly(p *proc) {
	p.tables.Shares.With(func(s *state.Shares) {
		s.Tickets = s.Tickets[len(s.Tickets)-1:]
		s.Agreed = s.Tickets[0].Config.Ticket.Number
		rebase(s)
	})
}

// takeWithOwnVote starts a hold with the confirmations that only suffice to keep
// one.
func takeWithOwnVote(p *proc) {
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
		until := sent[(len(names)+1)/2-1].Add(lease.Term)
		if !l.Superseded && !l.Hold.Valid(now) && until.After(now) {
			l.Hold = state.Hold{Since: now, Until: until}
		}
	})
}

func brokenRules() []rule {
	held := make(map[*proc]time.Time)
	var until time.Time
	return []rule{
		{name: "lender reclaims without margin", script: largeLoans, broken: hooks{granted: func(p *proc, from Peer, req LoanRequest) {
			p.tables.Shares.With(func(s *state.Shares) {
				if r := record(s, from, req); r != nil && !r.Refused {
					r.EndsAt = p.local().Add(req.Period)
				}
			})
		}}},
		{name: "borrower counts from the receipt", script: slowAnswers, broken: hooks{receiving: func(p *proc, _ LoanAnswer, sentAt *time.Time) {
			*sentAt = p.local()
		}}},
		{name: "borrower counts tokens twice", broken: hooks{receiving: func(p *proc, a LoanAnswer, _ *time.Time) {
			p.tables.Shares.With(func(s *state.Shares) {
				if ref, ok := s.Borrowed[a.Number]; ok && !ref.Connections {
					b := s.Customers[ref.Name].Loans.Borrowed
					for i := range b {
						if b[i].Number == a.Number {
							b[i].Phase = state.LoanAsked
						}
					}
				}
			})
		}}},
		{name: "lender forgets repeated requests", broken: hooks{granting: func(p *proc, req LoanRequest) {
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
		{name: "lender's hold ends before its loans", script: replacedLender, broken: hooks{
			granting: func(p *proc, _ LoanRequest) {
				p.tables.Lease.With(func(l *state.Lease) {
					until = l.Hold.Until
					if l.Hold.Valid(p.local()) {
						l.Hold.Until = until.Add(time.Minute)
					}
				})
			},
			granted: func(p *proc, _ Peer, _ LoanRequest) {
				p.tables.Lease.With(func(l *state.Lease) { l.Hold.Until = until })
			},
		}},
		{name: "spends without lease", broken: hooks{counted: func(p *proc) {
			p.tables.Lease.With(func(l *state.Lease) {
				if !l.Hold.Since.IsZero() {
					l.Hold.Until = p.local().Add(time.Hour)
				}
			})
		}}},
		{name: "hold counts from the receipt", script: lateAnswers, broken: hooks{counting: func(p *proc) {
			p.tables.Lease.With(func(l *state.Lease) {
				for n, q := range l.Queries {
					q.SentAt = p.local()
					l.Queries[n] = q
				}
			})
		}}},
		{name: "own vote starts a hold", broken: hooks{counted: takeWithOwnVote}},
		{name: "voter confirms the next process at once", broken: hooks{voting: func(p *proc, from string) {
			p.tables.Lease.With(func(l *state.Lease) { l.Record(from).Confirmed = 0 })
		}}},
		{name: "voter confirms right after its start", script: forgetfulVoter, broken: hooks{started: func(p *proc) {
			lease.Start(p.tables.Lease, p.local().Add(-time.Minute))
		}}},
		{name: "bucket starts full", script: saturate, broken: hooks{recomputed: func(p *proc) {
			hold := p.tables.Lease.Hold()
			p.tables.Shares.With(func(s *state.Shares) {
				if p.incarnation == 1 || !complete(s) || hold.Since.Equal(held[p]) {
					return
				}
				held[p] = hold.Since
				for _, c := range s.Customers {
					c.Level = capacity(c)
				}
			})
		}}},
		{name: "bucket is refilled at the full rate", broken: hooks{recomputed: func(p *proc) {
			p.tables.Shares.With(func(s *state.Shares) {
				rebase(s)
				for _, c := range s.Customers {
					c.Base.Rate /= refill
				}
			})
		}}},
		{name: "only the newest ticket counts", broken: hooks{recomputed: newestOnly}},
		{name: "ticket reported although loans exceed it", broken: hooks{report: func(p *proc, _ uint64) uint64 {
			return p.tables.Config.Current().Ticket.Number
		}}},
		{name: "new process uses all its connections", script: restartedLender, broken: hooks{recomputed: func(p *proc) {
			p.tables.Shares.With(func(s *state.Shares) { s.EarlierLoansTill = time.Time{} })
		}}},
	}
}

// notice returns the first violation that the broken rule leads to.
func (r rule) notice() string {
	if r.script != nil {
		violation, _ := calm.run(r.broken, r.script)
		return violation
	}
	for i := range brokenPlans {
		if violation, _ := plans.Example(i).run(r.broken, nil); violation != "" {
			return violation
		}
	}
	return ""
}

// Guards against a check that would not notice a broken rule, and against rules
// that are not needed.
func TestBrokenRulesAreNoticed(t *testing.T) {
	for _, r := range brokenRules() {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			violation := r.notice()
			if violation == "" {
				t.Error("not noticed")
			}
			t.Log(violation)
			if r.script == nil {
				return
			}
			if violation, spends := calm.run(hooks{}, r.script); violation != "" || spends == 0 {
				t.Errorf("with the rule: %d requests granted, %s", spends, violation)
			}
		})
	}
}
