package share

import (
	"slices"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/lease"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// brokenPlans bounds the runs in which a broken rule must be noticed.
const brokenPlans = 400

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

// brokenRules are the decisions with one rule left out of each.
func brokenRules() map[string]hooks {
	held := make(map[*proc]time.Time)
	var until time.Time
	return map[string]hooks{
		"lender reclaims without margin": {granted: func(p *proc, from Peer, req LoanRequest) {
			p.tables.Shares.With(func(s *state.Shares) {
				if r := record(s, from, req); r != nil {
					r.EndsAt = p.local().Add(req.Period)
				}
			})
		}},
		"borrower counts from the receipt": {receiving: func(p *proc, _ LoanAnswer, sentAt *time.Time) {
			*sentAt = p.local()
		}},
		"borrower counts tokens twice": {receiving: func(p *proc, a LoanAnswer, _ *time.Time) {
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
		}},
		"lender forgets repeated requests": {granting: func(p *proc, req LoanRequest) {
			p.tables.Shares.With(func(s *state.Shares) {
				if c := s.Customers[req.Name]; c != nil {
					for i := range c.Loans.Lent {
						if c.Loans.Lent[i].Number == req.Number {
							c.Loans.Lent[i].Rate, c.Loans.Lent[i].Burst = 0, 0
						}
					}
				}
			})
		}},
		"lender's hold ends before its loans": {
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
		},
		"spends without lease": {counted: func(p *proc) {
			p.tables.Lease.With(func(l *state.Lease) {
				if !l.Hold.Since.IsZero() {
					l.Hold.Until = p.local().Add(time.Hour)
				}
			})
		}},
		"hold counts from the receipt": {counting: func(p *proc) {
			p.tables.Lease.With(func(l *state.Lease) {
				for n, q := range l.Queries {
					q.SentAt = p.local()
					l.Queries[n] = q
				}
			})
		}},
		"own vote starts a hold": {counted: takeWithOwnVote},
		"voter confirms the next process at once": {voting: func(p *proc, from string) {
			p.tables.Lease.With(func(l *state.Lease) { l.Record(from).Confirmed = 0 })
		}},
		"voter confirms right after its start": {started: func(p *proc) {
			lease.Start(p.tables.Lease, p.local().Add(-time.Minute))
		}},
		"bucket starts full": {counted: func(p *proc) {
			hold := p.tables.Lease.Hold()
			if !hold.Since.Equal(held[p]) {
				held[p] = hold.Since
				p.tables.Shares.With(func(s *state.Shares) {
					syncHold(s, hold)
					for _, c := range s.Customers {
						c.Level = capacity(c)
					}
				})
			}
		}},
		"bucket is refilled at the full rate": {recomputed: func(p *proc) {
			p.tables.Shares.With(func(s *state.Shares) {
				rebase(s)
				for _, c := range s.Customers {
					c.Base.Rate /= refill
				}
			})
		}},
		"only the newest ticket counts": {recomputed: newestOnly},
		"ticket reported although loans exceed it": {report: func(p *proc, _ uint64) uint64 {
			return p.tables.Config.Current().Ticket.Number
		}},
		"new process uses all its connections": {recomputed: func(p *proc) {
			p.tables.Shares.With(func(s *state.Shares) { s.EarlierLoansTill = time.Time{} })
		}},
	}
}

// Guards against a check that would not notice a broken rule, and against rules
// that are not needed.
func TestBrokenRulesAreNoticed(t *testing.T) {
	for name, h := range brokenRules() {
		t.Run(name, func(t *testing.T) {
			for i := range brokenPlans {
				if violation, _ := plans.Example(i).run(h); violation != "" {
					t.Logf("plan %d: %s", i, violation)
					return
				}
			}
			t.Errorf("not noticed in %d plans", brokenPlans)
		})
	}
}
